package org.martenwell.gateway;

/** Receives the samples of the processor time that the process uses. */
@FunctionalInterface
interface ProcessorSampleListener {

    /**
     * Receives a sample.
     *
     * @param usedFraction The used fraction of the granted processor time; may exceed 1.
     * @param lagMillis The mean lag of the event loop, in milliseconds.
     * @param elapsedMillis The length of the sampled interval, in milliseconds.
     */
    void sampled(double usedFraction, double lagMillis, double elapsedMillis);
}
