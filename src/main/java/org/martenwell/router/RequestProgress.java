package org.martenwell.router;

import org.martenwell.error.MartenwellException;
import org.martenwell.error.Outcome;

/** Progress of a request over all its attempts. */
final class RequestProgress {

    private static final int MAX_ATTEMPTS = 3;

    private final RoutedRequest request;

    private RequestPhase phase = RequestPhase.WAITING;

    /** Set once any attempt may have run at a target. */
    private boolean mayHaveRun;

    /** Number of attempts started. */
    private int attempts;

    /** Time spent waiting for slots, over all attempts. */
    private long waitedMillis;

    /**
     * Creates the progress of a new request.
     *
     * @param request The request.
     */
    RequestProgress(RoutedRequest request) {
        this.request = request;
    }

    /** {@return the request} */
    RoutedRequest request() {
        return request;
    }

    /** Starts an attempt. */
    void startAttempt() {
        attempts++;
        phase = RequestPhase.WAITING;
    }

    /** Records that bytes may be written to a target from now on. */
    void markSent() {
        phase = RequestPhase.SENT;
    }

    /** Records that the response has begun. */
    void markResponding() {
        phase = RequestPhase.RESPONDING;
    }

    /** Records that the complete response was received. */
    void markComplete() {
        phase = RequestPhase.COMPLETE;
    }

    /**
     * Adds time spent waiting for a slot.
     *
     * @param millis The time in milliseconds.
     */
    void addWait(long millis) {
        waitedMillis += millis;
    }

    /** {@return the time spent waiting for slots in milliseconds, over all attempts} */
    long waitedMillis() {
        return waitedMillis;
    }

    /** {@return the number of attempts started} */
    int attempts() {
        return attempts;
    }

    /**
     * Sets the outcome of a failure to that of the whole request. An attempt counts as not run only
     * if no byte was sent or the failure itself says so, as when the target refused the request.
     *
     * @param failure The failure of the current attempt.
     * @return The failure with the outcome over all attempts.
     */
    MartenwellException withOverallOutcome(MartenwellException failure) {
        boolean notRun = phase.outcome() == Outcome.NOT_RUN || failure.outcome() == Outcome.NOT_RUN;
        mayHaveRun = mayHaveRun || !notRun;
        if (!mayHaveRun) {
            return failure.withOutcome(Outcome.NOT_RUN);
        }
        return failure.withOutcome(
                failure.outcome() == Outcome.RAN ? Outcome.RAN : Outcome.UNKNOWN);
    }

    /** {@return {@code true} if another attempt is safe and the maximum is not reached} */
    boolean canRetry() {
        boolean safe = !mayHaveRun || request.message().repeatable();
        return safe && attempts < MAX_ATTEMPTS;
    }
}
