package org.martenwell.router;

import org.martenwell.error.MartenwellException;
import org.martenwell.error.Outcome;

/** The course of one request through this router, over all its attempts. */
final class RequestProgress {

    /** The most attempts. */
    private static final int MAX_ATTEMPTS = 3;

    /** The request. */
    private final RoutedRequest request;

    /** How far the current attempt has come. */
    private RequestPhase phase = RequestPhase.WAITING;

    /** {@code true} once an earlier attempt may have run. */
    private boolean mayHaveRun;

    /** How many attempts were begun. */
    private int attempts;

    /** How long the request has waited for slots, in milliseconds. */
    private long waitedMillis;

    /**
     * Creates the life of a request that just arrived.
     *
     * @param request The request.
     */
    RequestProgress(RoutedRequest request) {
        this.request = request;
    }

    /**
     * Returns the request.
     *
     * @return The request.
     */
    RoutedRequest request() {
        return request;
    }

    /** Begins an attempt. */
    void begin() {
        attempts++;
        phase = RequestPhase.WAITING;
    }

    /** Notes that bytes may now be written to a target. */
    void written() {
        phase = RequestPhase.WRITTEN;
    }

    /** Notes that the answer has begun. */
    void answering() {
        phase = RequestPhase.ANSWERING;
    }

    /** Notes that the whole answer arrived. */
    void answered() {
        phase = RequestPhase.ANSWERED;
    }

    /**
     * Adds to the time waited.
     *
     * @param millis The time in milliseconds.
     */
    void waited(long millis) {
        waitedMillis += millis;
    }

    /**
     * Returns how long the request has waited.
     *
     * @return The time in milliseconds.
     */
    long waitedMillis() {
        return waitedMillis;
    }

    /**
     * Returns how many attempts were begun.
     *
     * @return The number of attempts.
     */
    int attempts() {
        return attempts;
    }

    /**
     * States the outcome of a failure. It is firmer than the phase's only if the failure itself
     * knows, because no byte was written or the target said that it had not started.
     *
     * @param failure The failure of the current attempt.
     * @return The failure with the outcome of the whole request.
     */
    MartenwellException conclude(MartenwellException failure) {
        boolean notRun = phase.outcome() == Outcome.NOT_RUN || failure.outcome() == Outcome.NOT_RUN;
        mayHaveRun = mayHaveRun || !notRun;
        if (!mayHaveRun) {
            return failure.withOutcome(Outcome.NOT_RUN);
        }
        return failure.withOutcome(
                failure.outcome() == Outcome.RAN ? Outcome.RAN : Outcome.UNKNOWN);
    }

    /**
     * Returns whether another attempt is safe and left.
     *
     * @return {@code true} if the request may be sent again.
     */
    boolean mayRetry() {
        boolean safe = !mayHaveRun || request.message().repeatable();
        return safe && attempts < MAX_ATTEMPTS;
    }
}
