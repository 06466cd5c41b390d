package org.martenwell.balance;

/**
 * Estimate of the time for which a target of a plain service runs one request, from response times.
 */
public final class ServiceTime {

    /**
     * The least weight of the last response in the estimate. The first responses count alike, so
     * that a slow one, such as that on the first connection, is soon forgotten.
     */
    private static final double MIN_WEIGHT = 0.05;

    /** The estimated time in milliseconds, 0 before the first response. */
    private double estimateMillis;

    /** The number of responses in the estimate. */
    private int responses;

    /** Creates an estimate without responses. */
    public ServiceTime() {}

    /**
     * Records a response. One that may have waited at the target only lowers the estimate.
     *
     * @param responseMillis The time from sending the request to the end of its response, in
     *     milliseconds.
     * @param load The requests at the target when the request was sent, including it.
     * @param slots The number of requests that the target runs at a time.
     */
    public void observe(double responseMillis, double load, int slots) {
        if (responses == 0 || load <= slots || responseMillis < estimateMillis) {
            responses++;
            double weight = Math.max(MIN_WEIGHT, 1.0 / responses);
            estimateMillis += weight * (responseMillis - estimateMillis);
        }
    }

    /** {@return the estimated time in milliseconds, 0 before the first response} */
    public double millis() {
        return estimateMillis;
    }
}
