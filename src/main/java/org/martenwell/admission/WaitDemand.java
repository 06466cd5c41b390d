package org.martenwell.admission;

/**
 * What a request that waits for an engine needs, and until when.
 *
 * @param arrivedMillis The time of arrival, in milliseconds.
 * @param objectiveMillis The latency objective of the first event, in milliseconds from the
 *     arrival.
 * @param deadlineMillis The time at which the request times out, in milliseconds.
 * @param firstEventMillis The expected time from sending the request to its first event at an
 *     engine without a backlog, in milliseconds.
 * @param memoryTokens The KV cache that it needs apart from shared parts, in tokens.
 */
public record WaitDemand(
        long arrivedMillis,
        long objectiveMillis,
        long deadlineMillis,
        double firstEventMillis,
        long memoryTokens) {

    /** The fraction of the objective that a request may wait whatever its prompt. */
    private static final double MIN_WAIT_FRACTION = 0.2;

    /**
     * The largest fraction of the objective that a request may wait. It matches the fraction that
     * the choice of an engine allows for the whole time to the first event.
     */
    private static final double MAX_WAIT_FRACTION = 0.85;

    /** {@return the latest time at which sending the request can be in time, in milliseconds} */
    double latestMillis() {
        return arrivedMillis + objectiveMillis - firstEventMillis;
    }

    /**
     * {@return the time up to which the request waits if the rate of free places is not known, in
     * milliseconds}
     */
    double minWaitEndMillis() {
        return Math.min(
                (double) deadlineMillis,
                arrivedMillis + MIN_WAIT_FRACTION * (double) objectiveMillis);
    }

    /** {@return the time up to which the request may wait, in milliseconds} */
    double waitEndMillis() {
        double latest =
                Math.min(latestMillis(), arrivedMillis + MAX_WAIT_FRACTION * objectiveMillis);
        return Math.min((double) deadlineMillis, Math.max(latest, minWaitEndMillis()));
    }
}
