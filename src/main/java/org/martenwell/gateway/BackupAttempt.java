package org.martenwell.gateway;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.martenwell.exchange.ResponseFailure;
import org.martenwell.exchange.ResponseFraming;
import org.martenwell.service.ResponseTimeout;
import org.martenwell.service.StepGuard;

/**
 * An attempt at another target while the one in progress is silent but kept. It takes the place of
 * that one once its target has accepted the request. If the target refuses the request or fails,
 * the attempt in progress remains; if the silent target sends first, the backup is cancelled.
 */
final class BackupAttempt implements AttemptListener {

    /**
     * The time after which a target that hasn't refused the request has accepted it, in
     * milliseconds. Full targets refuse at once; the others may run the request long before they
     * respond, and two targets must not run it for longer than 400 ms, delays of the event loop
     * included.
     */
    private static final long ACCEPTANCE_MILLIS = 150;

    private final GatewayCore core;

    private final AcceptedRequest request;

    private final RequestSender sender;

    private final ResponseRelay relay;

    private final AttemptOutcomes outcomes;

    private final StepGuard guard;

    private final AcceptanceListener acceptanceListener;

    /** Set while the attempt in progress is silent, so that another target is wanted. */
    private boolean wanted;

    /** The attempt whose target hasn't accepted the request yet, empty without one. */
    private Optional<SendAttempt> pending = Optional.empty();

    /** Receives the attempts whose targets have accepted the request. */
    interface AcceptanceListener {

        /**
         * Called once a target has accepted the request. It has to {@link #take} the attempt.
         *
         * @return The listener that handles the attempt from now on.
         */
        AttemptListener accepted();
    }

    /**
     * Creates a backup that sends nothing until {@link #start}.
     *
     * @param request The request.
     * @param sender Sends the request to other targets.
     * @param relay Forwards the response of the attempt in progress.
     * @param outcomes Records the outcomes of attempts.
     * @param acceptanceListener Receives the attempt once its target has accepted the request.
     */
    BackupAttempt(
            AcceptedRequest request,
            RequestSender sender,
            ResponseRelay relay,
            AttemptOutcomes outcomes,
            AcceptanceListener acceptanceListener) {
        this.core = request.core();
        this.request = request;
        this.sender = sender;
        this.relay = relay;
        this.outcomes = outcomes;
        this.guard = request.guard();
        this.acceptanceListener = acceptanceListener;
    }

    /** Sends the request to another target, if one is available and the request may be retried. */
    void start() {
        wanted = true;
        if (pending.isEmpty()) {
            sender.trySendBackup();
        }
    }

    /**
     * Begins to handle an attempt that is about to be sent.
     *
     * @param attempt The attempt.
     */
    void begin(SendAttempt attempt) {
        attempt.reportTo(this);
        pending = Optional.of(attempt);
    }

    /** {@return {@code true} if a target has the request and hasn't accepted it yet} */
    boolean isPending() {
        return pending.isPresent();
    }

    /** {@return the pending attempt, which is handed over, empty if there is none} */
    Optional<SendAttempt> take() {
        wanted = false;
        Optional<SendAttempt> taken = pending;
        pending = Optional.empty();
        return taken;
    }

    /** Cancels the pending attempt, if there is one, since the request is over. */
    void cancel() {
        take().ifPresent(
                        attempt -> {
                            outcomes.cancelled(attempt);
                            attempt.cancel();
                            sender.resumeKept();
                        });
    }

    /** Cancels the pending attempt, if there is one, since the silent target sends again. */
    void withdraw() {
        take().ifPresent(
                        attempt -> {
                            outcomes.withdrawn(attempt);
                            attempt.cancel();
                            sender.resumeKept();
                        });
    }

    @Override
    public void requestWritten(SendAttempt from, int earlierRequests) {
        request.history().recordWritten(request.elapsedMillis(), earlierRequests);
        core.reactor()
                .delayBackground(
                        ACCEPTANCE_MILLIS,
                        guard.guarded(
                                () ->
                                        ResponseTimeout.afterNextRead(
                                                core.reactor(),
                                                guard.guarded(() -> notRefused(from)))));
    }

    /** Handles that a target has had the time to refuse the request. */
    private void notRefused(SendAttempt attempt) {
        if (pending.filter(each -> each == attempt).isPresent()) {
            acceptanceListener.accepted();
        }
    }

    @Override
    public void responseStarted(SendAttempt from, HttpResponse response) {
        int status = response.status().code();
        if (core.dialect().notRun(response)) {
            from.ignoreResponse();
            outcomes.refused(from, status);
            tryNext();
        } else if (outcomes.isMalformed(response)) {
            from.cancel();
            attemptFailed(from, ResponseFailure.MALFORMED);
        } else if (relay.mayBegin(response, request.route())
                && !AttemptOutcomes.isFailure(status)) {
            acceptanceListener.accepted().responseStarted(from, response);
        } else {
            from.cancel();
            outcomes.respondedUnusably(from, status);
            tryNext();
        }
    }

    @Override
    public void targetUnavailable(SendAttempt from) {
        outcomes.unavailable(from);
        tryNext();
    }

    @Override
    public void attemptFailed(SendAttempt from, ResponseFailure failure) {
        if (!failure.sent()) {
            outcomes.unreachable(from, failure);
            tryNext();
            return;
        }
        outcomes.failed(from, failure);
        if (failure == ResponseFailure.DEFECT) {
            tryNext();
            return;
        }
        release();
        core.harmful().attemptFailed(from.run(), request.identity(), guard.guarded(this::tryAgain));
    }

    /** Sends the request to a further target instead of one that doesn't serve it. */
    private void tryNext() {
        release();
        tryAgain();
    }

    private void release() {
        pending = Optional.empty();
        sender.resumeKept();
    }

    private void tryAgain() {
        if (wanted && request.history().mayTryAnotherTarget()) {
            start();
        }
    }

    @Override
    public void bodyStarted(SendAttempt from) {
        throw unexpected();
    }

    @Override
    public void responseContinues() {
        throw unexpected();
    }

    @Override
    public boolean bodyReceived(byte[] chunk) {
        throw unexpected();
    }

    @Override
    public void responseEnded(SendAttempt from, ResponseFraming framing) {
        throw unexpected();
    }

    /** Returns the defect of a body without a head, which ends the attempt or hands it over. */
    private static IllegalStateException unexpected() {
        return new IllegalStateException("The response has no head.");
    }
}
