package org.martenwell.gateway;

import io.netty.handler.codec.http.HttpResponse;
import org.martenwell.balance.TargetHealth;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.error.ErrorKind;
import org.martenwell.exchange.ResponseFailure;
import org.martenwell.exchange.ResponseFraming;
import org.martenwell.service.StepGuard;

/**
 * Handler of the attempts of one request: it passes responses on to the caller, records failures of
 * targets, and has the request retried where that is allowed.
 */
final class AttemptHandler {

    /** The time for which a target that reports to be full is suspended, in milliseconds. */
    private static final long FULL_SUSPENSION_MILLIS = 150;

    /** The time for which a target that is not the intended one is suspended, in milliseconds. */
    private static final long MISDIRECTED_SUSPENSION_MILLIS = 5_000;

    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private static final int FIRST_REDIRECTION_STATUS = 300;

    /** The status of a target that is not the intended one. */
    private static final int MISDIRECTED_STATUS = 421;

    private final GatewayCore core;

    private final AcceptedRequest request;

    private final RequestSender sender;

    private final RequestStream stream;

    private final ResponseRelay relay;

    private final RequestCompletion completion;

    private final SendHistory history;

    private final StepGuard guard;

    /** The detector of silent targets. */
    private final StallDetector stallDetector;

    private final ResponsePace pace = new ResponsePace();

    /** The attempt in progress or {@code null}. */
    private SendAttempt attempt;

    /**
     * Creates the handler of a request's attempts.
     *
     * @param request The request.
     * @param sender Sends the request again if it is retried.
     * @param stream The stream that the request begins or resumes.
     * @param relay Forwards the responses of targets.
     * @param completion Ends the request.
     */
    AttemptHandler(
            AcceptedRequest request,
            RequestSender sender,
            RequestStream stream,
            ResponseRelay relay,
            RequestCompletion completion) {
        this.core = request.core();
        this.request = request;
        this.sender = sender;
        this.stream = stream;
        this.relay = relay;
        this.completion = completion;
        this.history = request.history();
        this.guard = request.guard();
        this.stallDetector = new StallDetector(core, guard, request.route(), this::targetSilent);
    }

    /**
     * Begins to handle an attempt that is about to be sent.
     *
     * @param begun The attempt.
     */
    void begin(SendAttempt begun) {
        attempt = begun;
        relay.reset(begun);
        stallDetector.watch(begun);
    }

    /** {@return {@code true} if a response is awaited or in progress} */
    boolean inProgress() {
        return attempt != null;
    }

    /**
     * Cancels the attempt in progress, if there is one, so that the target stops its work. The
     * organisation is not charged if the target has not begun to respond.
     */
    void cancel() {
        if (attempt != null) {
            sender.rollBackSent();
            core.harmful().attemptCancelled(attempt.target(), request.identity());
            attempt.cancel();
            attempt = null;
        }
    }

    /** Cancels the attempt in progress, if there is one, after a defect of the gateway. */
    void cancelDefective() {
        SendAttempt failed = attempt;
        attempt = null;
        if (failed != null) {
            failed.cancel();
            sender.rollBackSent();
        }
    }

    /**
     * Handles the head of a response.
     *
     * @param from The attempt.
     * @param response The head.
     */
    void responseStarted(SendAttempt from, HttpResponse response) {
        if (core.dialect().notRun(response)) {
            from.ignoreResponse();
            attempt = null;
            refusedByTarget(from, response.status().code());
        } else if (!core.dialect().isFromTarget(response)
                && response.status().code() < FIRST_REDIRECTION_STATUS) {
            from.cancel();
            attemptFailed(from, ResponseFailure.MALFORMED);
        } else if (!relay.begin(response, request.route())) {
            from.cancel();
            completion.abort();
        } else if (relay.closeDelimitedFailure()) {
            SilentResponseEnd.await(core, guard, from);
        }
    }

    /**
     * Handles the arrival of the first chunk of a response body.
     *
     * @param from The attempt.
     */
    void bodyStarted(SendAttempt from) {
        pace.started(request.elapsedMillis());
        core.log().requests().firstChunk(request.elapsedMillis());
        if (relay.streaming()) {
            sender.recordResponseStart(from);
            completion.recordServed();
        }
    }

    /** Handles that a response has been in progress for a while. */
    void responseContinues() {
        core.harmful().promptServed(request.identity());
    }

    /**
     * Handles a chunk of a response body.
     *
     * @param chunk The bytes.
     * @return {@code false} if the response is too large.
     */
    boolean bodyReceived(byte[] chunk) {
        pace.received(request.elapsedMillis());
        if (relay.streaming()) {
            sender.recordEvents();
        }
        boolean accepted = relay.receive(chunk, request.route().resumable());
        if (relay.eventForwarded()) {
            stream.countEvent();
            if (!stream.begun() && attempt != null) {
                DirectoryTarget target = attempt.target().load().target();
                sender.restrictTo(stream.begin(target, request.route()));
            }
        }
        return accepted;
    }

    /**
     * Handles the end of a response. One that is known to be truncated failed. If its framing
     * doesn't show that, a probe tells whether the target crashed.
     *
     * @param from The attempt.
     * @param framing The way in which the end of the response was determined.
     */
    void responseEnded(SendAttempt from, ResponseFraming framing) {
        attempt = null;
        if (relay.endedWithinEvent()) {
            attemptFailed(from, ResponseFailure.BROKEN_OFF);
        } else if (framing.showsTruncation()) {
            responseCompleted(from, framing, from.elapsedMillis());
        } else {
            long responseMillis = from.elapsedMillis();
            core.harmful()
                    .endedByClose(
                            from.run(),
                            request.identity(),
                            guard.<Boolean>guarded(
                                    crashed -> targetProbed(from, crashed, responseMillis)));
        }
    }

    /** Handles the result of the probe behind a response that ended with its connection. */
    private void targetProbed(SendAttempt from, boolean crashed, long responseMillis) {
        if (completion.over()) {
            return;
        }
        if (crashed) {
            attemptFailed(from, ResponseFailure.BROKEN_OFF);
        } else if (relay.mayEnd()) {
            responseCompleted(from, ResponseFraming.CLOSE_DELIMITED, responseMillis);
        } else {
            history.markPossiblyRun();
            completion.fail(ErrorKind.TARGET_FAILED, RetryDelay.NONE);
        }
    }

    /**
     * Forwards a response that isn't known to be truncated, or retries after a server error.
     *
     * @param from The attempt.
     * @param framing The way in which the end of the response was determined.
     * @param responseMillis The time that it took, without delays of the event loop, in
     *     milliseconds.
     */
    private void responseCompleted(SendAttempt from, ResponseFraming framing, long responseMillis) {
        int status = relay.status();
        boolean failure = status >= FIRST_SERVER_ERROR_STATUS;
        if (failure) {
            health(from).respondedWithFailure(core.now());
        } else {
            health(from).succeeded(core.now());
            sender.recordPlainResponse(from, responseMillis);
        }
        if (failure
                && request.route().repeatable()
                && sender.mayTryAgain()
                && request.takeRetry()) {
            history.markPossiblyRun();
            sender.trySend();
        } else if (RequestCompletion.promisesNotRun(status)) {
            // The dialect did not recognise this as a refusal, so the request may have run.
            history.markPossiblyRun();
            completion.fail(ErrorKind.TARGET_FAILED, RetryDelay.NONE);
        } else {
            if (framing.showsTruncation() && !failure) {
                core.harmful().served(request.identity());
                if (status < FIRST_REDIRECTION_STATUS) {
                    core.harmful().promptServed(request.identity());
                }
            }
            relay.end();
            completion.complete(targetId(from), status, framing, pace);
        }
    }

    /** Suspends a target that refused the request without running it, and retries elsewhere. */
    private void refusedByTarget(SendAttempt from, int status) {
        boolean misdirected = status == MISDIRECTED_STATUS;
        logNotRun(from, misdirected ? "other" : "full");
        sender.rollBackSent();
        if (misdirected) {
            core.harmful().targetCrashed(from.target(), CrashSource.ANSWER);
        }
        health(from)
                .suspend(
                        core.now(),
                        misdirected ? MISDIRECTED_SUSPENSION_MILLIS : FULL_SUSPENSION_MILLIS);
        if (request.takeRetry()) {
            sender.trySend();
        } else {
            completion.fail(ErrorKind.TARGET_REFUSED, RetryDelay.CAPACITY);
        }
    }

    /**
     * Handles the failure of an attempt, and retries the request if that is allowed.
     *
     * @param from The attempt.
     * @param failure The failure.
     */
    void attemptFailed(SendAttempt from, ResponseFailure failure) {
        attempt = null;
        sender.rollBackSent();
        if (!failure.sent()) {
            logNotRun(from, failure.name());
            health(from).connectFailed(core.now());
            if (failure == ResponseFailure.REFUSED) {
                core.harmful().targetCrashed(from.target(), CrashSource.CONNECTION);
            }
            retryUnreachable();
            return;
        }
        core.log()
                .attempts()
                .failed(
                        request.requestId(),
                        from.target().load().target().incarnation(),
                        failure.name(),
                        request.identity().fingerprint());
        history.markPossiblyRun();
        boolean repeatable =
                request.route().repeatable()
                        && (!request.exchange().headSent() || request.route().resumable());
        if (failure == ResponseFailure.DEFECT) {
            retryDefective(repeatable);
            return;
        }
        health(from).failed(core.now());
        if (repeatable) {
            core.harmful()
                    .attemptFailed(
                            from.run(), request.identity(), guard.guarded(this::retryFailed));
        } else {
            core.harmful().attemptFailed(from.run(), request.identity(), () -> {});
            completion.fail(ErrorKind.TARGET_FAILED, RetryDelay.NONE);
        }
    }

    /** Retries a request whose attempt failed through no fault of its target. */
    private void retryDefective(boolean repeatable) {
        if (repeatable) {
            retryFailed();
        } else {
            completion.fail(ErrorKind.TARGET_FAILED, RetryDelay.NONE);
        }
    }

    private void retryFailed() {
        if (completion.over()) {
            return;
        }
        if (request.takeRetry()) {
            sender.trySend();
        } else {
            completion.fail(ErrorKind.TARGET_FAILED, RetryDelay.NONE);
        }
    }

    /**
     * Retries a request after its target could not be reached. This doesn't use the retry budget,
     * since nothing was sent.
     */
    private void retryUnreachable() {
        history.recordUnreachable();
        if (history.mayTryAnotherTarget() && request.remainingMillis() > 0) {
            sender.trySend();
        } else {
            completion.fail(ErrorKind.NO_TARGET, RetryDelay.CAPACITY);
        }
    }

    /**
     * Handles a target that became unavailable while the connection opened. Nothing was sent, so
     * the request goes to another target.
     *
     * @param from The attempt.
     */
    void targetUnavailable(SendAttempt from) {
        attempt = null;
        sender.rollBackSent();
        logNotRun(from, "closed");
        history.withdrawAttempt();
        sender.trySend();
    }

    /**
     * Handles that the request is handed to the connection of its attempt.
     *
     * @param earlierRequests The requests that the connection carried before.
     */
    void requestWritten(int earlierRequests) {
        history.recordWritten(request.elapsedMillis(), earlierRequests);
    }

    /**
     * Records a failure of a silent target, and retries the request elsewhere if that is allowed.
     * The silence behind a close-delimited failure is left to {@link SilentResponseEnd}.
     */
    private void targetSilent(SendAttempt silentAttempt, Silence silence) {
        if (relay.closeDelimitedFailure()) {
            return;
        }
        health(silentAttempt).failed(core.now());
        if (request.route().repeatable() && request.takeRetry()) {
            core.log().attempts().silent(request.requestId(), targetId(silentAttempt), silence);
            history.markPossiblyRun();
            cancel();
            sender.trySend();
        }
    }

    private void logNotRun(SendAttempt from, String cause) {
        core.log().attempts().notRun(request.requestId(), targetId(from), cause);
    }

    private static TargetHealth health(SendAttempt of) {
        return of.target().load().health();
    }

    private static String targetId(SendAttempt of) {
        return of.target().load().target().id();
    }
}
