package org.martenwell.gateway;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.error.ErrorKind;
import org.martenwell.exchange.ResponseFailure;
import org.martenwell.exchange.ResponseFraming;
import org.martenwell.service.StepGuard;

/**
 * Handler of the attempts of one request: it passes responses on to the caller, records failures of
 * targets, and has the request retried where that is allowed.
 */
final class AttemptHandler implements AttemptListener {

    private static final int FIRST_REDIRECTION_STATUS = 300;

    private final GatewayCore core;

    private final AcceptedRequest request;

    private final RequestSender sender;

    private final RequestStream stream;

    private final ResponseRelay relay;

    private final RequestCompletion completion;

    private final SendHistory history;

    private final StepGuard guard;

    private final AttemptOutcomes outcomes;

    /** The attempt at another target while the one in progress is silent. */
    private final BackupAttempt backup;

    /** The detector of silent targets. */
    private final StallDetector stallDetector;

    private final ResponsePace pace = new ResponsePace();

    /** The attempt in progress or {@code null}. */
    private SendAttempt attempt;

    /** The silence of the attempt in progress, empty if it was not silent. */
    private Optional<Silence> silence = Optional.empty();

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
        this.outcomes = new AttemptOutcomes(request);
        this.backup = new BackupAttempt(request, sender, relay, outcomes, this::backupAccepted);
        this.stallDetector = new StallDetector(core, guard, request.route(), this::targetSilent);
    }

    /**
     * Begins to handle an attempt that is about to be sent, as a backup if another one is in
     * progress.
     *
     * @param begun The attempt.
     */
    void begin(SendAttempt begun) {
        if (inProgress()) {
            backup.begin(begun);
        } else {
            follow(begun);
        }
    }

    /** Makes an attempt the one whose response is forwarded. */
    private void follow(SendAttempt followed) {
        attempt = followed;
        followed.reportTo(this);
        relay.reset(followed);
        stallDetector.watch(followed);
    }

    /** {@return the target of the attempt in progress, empty without one} */
    Optional<String> targetInProgress() {
        return Optional.ofNullable(attempt).map(AttemptOutcomes::targetId);
    }

    /** {@return {@code true} if a response is awaited or in progress} */
    boolean inProgress() {
        return attempt != null;
    }

    /**
     * Cancels the attempts in progress, if there are any, so that their targets stop their work.
     * The organisation is not charged if no target has begun to respond.
     */
    void cancel() {
        backup.cancel();
        if (attempt != null) {
            sender.rollBackSent();
            core.harmful().attemptCancelled(attempt.target(), request.identity());
            attempt.cancel();
            attempt = null;
        }
    }

    /** Cancels the attempts in progress, if there are any, after a defect of the gateway. */
    void cancelDefective() {
        backup.cancel();
        SendAttempt failed = attempt;
        attempt = null;
        if (failed != null) {
            failed.cancel();
            sender.rollBackSent();
        }
    }

    @Override
    public void responseStarted(SendAttempt from, HttpResponse response) {
        int status = response.status().code();
        if (core.dialect().notRun(response)) {
            from.ignoreResponse();
            attempt = null;
            refusedByTarget(from, status);
        } else if (outcomes.isMalformed(response)) {
            from.cancel();
            attemptFailed(from, ResponseFailure.MALFORMED);
        } else if (backup.isPending() && AttemptOutcomes.isFailure(status)) {
            from.cancel();
            outcomes.respondedUnusably(from, status);
            takeOver();
        } else {
            backup.withdraw();
            beginResponse(from, response);
        }
    }

    private void beginResponse(SendAttempt from, HttpResponse response) {
        if (!relay.begin(response, request.route())) {
            from.cancel();
            attempt = null;
            sender.rollBackSent();
            outcomes.respondedUnusably(from, response.status().code());
            retryFailed();
        } else if (relay.closeDelimitedFailure()) {
            SilentResponseEnd.await(core, guard, from);
        }
    }

    @Override
    public void bodyStarted(SendAttempt from) {
        backup.withdraw();
        pace.started(request.elapsedMillis());
        core.log().requests().firstChunk(request.elapsedMillis());
        if (relay.streaming()) {
            sender.recordResponseStart(from);
            completion.recordServed();
        }
    }

    @Override
    public void responseContinues() {
        core.harmful().promptServed(request.identity());
    }

    @Override
    public boolean bodyReceived(byte[] chunk) {
        backup.withdraw();
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
     * {@inheritDoc} A response that is known to be truncated failed. If its framing doesn't show
     * that, a probe tells whether the target crashed.
     */
    @Override
    public void responseEnded(SendAttempt from, ResponseFraming framing) {
        backup.withdraw();
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
        boolean failure = AttemptOutcomes.isFailure(status);
        if (failure) {
            AttemptOutcomes.health(from).respondedWithFailure(core.now());
        } else {
            AttemptOutcomes.health(from).succeeded(core.now());
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
            completion.complete(AttemptOutcomes.targetId(from), status, framing, pace);
        }
    }

    /** Suspends a target that refused the request without running it, and retries elsewhere. */
    private void refusedByTarget(SendAttempt from, int status) {
        outcomes.refused(from, status);
        if (takeOver()) {
            return;
        }
        sender.rollBackSent();
        if (request.takeRetry()) {
            sender.trySend();
        } else {
            completion.fail(ErrorKind.TARGET_REFUSED, RetryDelay.CAPACITY);
        }
    }

    /**
     * {@inheritDoc} The backup takes its place, if there is one, else the request is retried if
     * that is allowed.
     */
    @Override
    public void attemptFailed(SendAttempt from, ResponseFailure failure) {
        attempt = null;
        boolean replaced = takeOver();
        if (!replaced) {
            sender.rollBackSent();
        }
        if (!failure.sent()) {
            outcomes.unreachable(from, failure);
            if (!replaced) {
                retryUnreachable();
            }
            return;
        }
        outcomes.failed(from, failure);
        if (replaced) {
            if (failure != ResponseFailure.DEFECT) {
                core.harmful().attemptFailed(from.run(), request.identity(), () -> {});
            }
            return;
        }
        boolean repeatable =
                request.route().repeatable()
                        && (!request.exchange().headSent() || request.route().resumable());
        if (failure == ResponseFailure.DEFECT) {
            retryDefective(repeatable);
        } else if (repeatable) {
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
        if (history.mayTryAnotherTarget() && request.remainingMillis() > 0) {
            sender.trySend();
        } else {
            completion.fail(ErrorKind.NO_TARGET, RetryDelay.CAPACITY);
        }
    }

    /** {@inheritDoc} The request goes to another target. */
    @Override
    public void targetUnavailable(SendAttempt from) {
        attempt = null;
        outcomes.unavailable(from);
        if (!takeOver()) {
            sender.rollBackSent();
            sender.trySend();
        }
    }

    @Override
    public void requestWritten(SendAttempt from, int earlierRequests) {
        history.recordWritten(request.elapsedMillis(), earlierRequests);
    }

    /**
     * Records a failure of a silent target, and sends the request to another one beside it if that
     * is allowed. The silent target is left once the other one has accepted the request. The
     * silence behind a close-delimited failure is left to {@link SilentResponseEnd}.
     */
    private void targetSilent(SendAttempt silentAttempt, Silence detected) {
        if (relay.closeDelimitedFailure()) {
            return;
        }
        AttemptOutcomes.health(silentAttempt).failed(core.now());
        if (request.route().repeatable()) {
            silence = Optional.of(detected);
            backup.start();
        }
    }

    /** Leaves the silent target, since another one has accepted the request. */
    private AttemptListener backupAccepted() {
        SendAttempt left = attempt;
        silence.ifPresent(each -> outcomes.leftSilent(left, each));
        left.cancel();
        takeOver();
        return this;
    }

    /**
     * Replaces the attempt in progress, which is over, by the backup.
     *
     * @return {@code false} if there is none.
     */
    private boolean takeOver() {
        Optional<SendAttempt> taken = backup.take();
        if (taken.isPresent()) {
            sender.dropKept();
            follow(taken.get());
        }
        return taken.isPresent();
    }
}
