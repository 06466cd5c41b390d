package org.martenwell.gateway;

import io.netty.handler.codec.http.HttpResponse;
import org.martenwell.balance.TargetHealth;
import org.martenwell.exchange.ResponseFailure;

/**
 * Recording of the outcomes of the attempts of one request: in the log, in the health of their
 * targets and in the history of the request.
 */
final class AttemptOutcomes {

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

    private final SendHistory history;

    /**
     * Creates the record of a request's attempts.
     *
     * @param request The request.
     */
    AttemptOutcomes(AcceptedRequest request) {
        this.core = request.core();
        this.request = request;
        this.history = request.history();
    }

    /**
     * Returns whether a status is that of a failure of the target.
     *
     * @param status The HTTP status code.
     * @return {@code true} for a server error.
     */
    static boolean isFailure(int status) {
        return status >= FIRST_SERVER_ERROR_STATUS;
    }

    /**
     * Returns whether a response claims a success that doesn't come from a target.
     *
     * @param response The head.
     * @return {@code true} if it must not be forwarded.
     */
    boolean isMalformed(HttpResponse response) {
        return !core.dialect().isFromTarget(response)
                && response.status().code() < FIRST_REDIRECTION_STATUS;
    }

    /**
     * Records that a target refused the request without running it, and suspends the target.
     *
     * @param from The attempt.
     * @param status The HTTP status code.
     */
    void refused(SendAttempt from, int status) {
        boolean misdirected = status == MISDIRECTED_STATUS;
        logNotRun(from, misdirected ? "other" : "full");
        if (misdirected) {
            core.harmful().targetCrashed(from.target(), CrashSource.ANSWER);
        }
        health(from)
                .suspend(
                        core.now(),
                        misdirected ? MISDIRECTED_SUSPENSION_MILLIS : FULL_SUSPENSION_MILLIS);
    }

    /**
     * Records that a target could not be reached, so that nothing was sent.
     *
     * @param from The attempt.
     * @param failure The failure.
     */
    void unreachable(SendAttempt from, ResponseFailure failure) {
        logNotRun(from, failure.name());
        health(from).connectFailed(core.now());
        if (failure == ResponseFailure.REFUSED) {
            core.harmful().targetCrashed(from.target(), CrashSource.CONNECTION);
        }
        history.recordUnreachable();
    }

    /**
     * Records that a target became unavailable while the connection opened, so that nothing was
     * sent.
     *
     * @param from The attempt.
     */
    void unavailable(SendAttempt from) {
        logNotRun(from, "closed");
        history.withdrawAttempt();
    }

    /**
     * Records that an attempt failed after the request was sent.
     *
     * @param from The attempt.
     * @param failure The failure.
     */
    void failed(SendAttempt from, ResponseFailure failure) {
        core.log()
                .attempts()
                .failed(
                        request.requestId(),
                        from.target().load().target().incarnation(),
                        failure.name(),
                        request.identity().fingerprint());
        history.markPossiblyRun();
        if (failure != ResponseFailure.DEFECT) {
            health(from).failed(core.now());
        }
    }

    /**
     * Records that a target ran the request and responded with what can't be forwarded.
     *
     * @param from The attempt.
     * @param status The HTTP status code.
     */
    void respondedUnusably(SendAttempt from, int status) {
        history.markPossiblyRun();
        if (isFailure(status)) {
            health(from).respondedWithFailure(core.now());
        }
    }

    /**
     * Records that a silent target is left for another one.
     *
     * @param from The attempt.
     * @param silence The circumstances.
     */
    void leftSilent(SendAttempt from, Silence silence) {
        core.log().attempts().silent(request.requestId(), targetId(from), silence);
        cancelled(from);
    }

    /**
     * Records that an attempt beside a silent one is no longer needed.
     *
     * @param from The attempt.
     */
    void withdrawn(SendAttempt from) {
        core.log().attempts().withdrawn(request.requestId(), targetId(from));
        cancelled(from);
    }

    /**
     * Records that an attempt is cancelled while the request goes on or is over.
     *
     * @param from The attempt.
     */
    void cancelled(SendAttempt from) {
        history.markPossiblyRun();
        core.harmful().attemptCancelled(from.target(), request.identity());
    }

    /**
     * Returns the id of an attempt's target.
     *
     * @param of The attempt.
     * @return The id.
     */
    static String targetId(SendAttempt of) {
        return of.target().load().target().id();
    }

    /**
     * Returns the health of an attempt's target.
     *
     * @param of The attempt.
     * @return The health.
     */
    static TargetHealth health(SendAttempt of) {
        return of.target().load().health();
    }

    private void logNotRun(SendAttempt from, String cause) {
        core.log().attempts().notRun(request.requestId(), targetId(from), cause);
    }
}
