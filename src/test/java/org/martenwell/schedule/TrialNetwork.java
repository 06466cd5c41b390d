package org.martenwell.schedule;

/**
 * How messages travel between the routers of a trial: the delay and its jitter, which reorders, the
 * shares lost and doubled, and how often counters are shared.
 */
record TrialNetwork(
        long delayMillis,
        long jitterMillis,
        double lost,
        double doubled,
        long countersMillis,
        boolean grantsAtOnce) {

    static final TrialNetwork SOUND = new TrialNetwork(2, 0, 0, 0, 500, true);

    TrialNetwork withGrantsAtOnce(boolean atOnce) {
        return new TrialNetwork(delayMillis, jitterMillis, lost, doubled, countersMillis, atOnce);
    }

    TrialNetwork withCountersMillis(long millis) {
        return new TrialNetwork(delayMillis, jitterMillis, lost, doubled, millis, grantsAtOnce);
    }
}
