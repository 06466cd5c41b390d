package org.martenwell.schedule;

/**
 * Behaviour of the network between simulated routers.
 *
 * @param delayMillis The delay of each message.
 * @param jitterMillis The maximum random addition to the delay, which reorders messages.
 * @param lossRate The share of messages lost.
 * @param duplicationRate The share of messages duplicated.
 * @param counterIntervalMillis The interval at which routers exchange service counters.
 * @param immediateGrantReports {@code true} if changes of granted slots are reported without
 *     waiting for the interval.
 */
record SimulatedNetwork(
        long delayMillis,
        long jitterMillis,
        double lossRate,
        double duplicationRate,
        long counterIntervalMillis,
        boolean immediateGrantReports) {

    static final SimulatedNetwork RELIABLE = new SimulatedNetwork(2, 0, 0, 0, 500, true);

    SimulatedNetwork withImmediateGrantReports(boolean immediate) {
        return new SimulatedNetwork(
                delayMillis,
                jitterMillis,
                lossRate,
                duplicationRate,
                counterIntervalMillis,
                immediate);
    }

    SimulatedNetwork withCounterIntervalMillis(long millis) {
        return new SimulatedNetwork(
                delayMillis,
                jitterMillis,
                lossRate,
                duplicationRate,
                millis,
                immediateGrantReports);
    }
}
