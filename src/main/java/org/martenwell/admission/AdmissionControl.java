package org.martenwell.admission;

import java.util.HashMap;
import java.util.Map;
import org.martenwell.configuration.Contract;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/**
 * Rejects requests that exceed the rate or the queue of an organisation's contract, that exceed the
 * router's limits, or that are expected to wait too long. The expected wait depends only on the
 * organisation's own queue, so a flood of requests delays its sender alone.
 */
public final class AdmissionControl {

    /** The most requests in all queues of this router. */
    private final int maxWaiting;

    /** The most memory held by queued requests, in bytes. */
    private final long maxWaitingBytes;

    /** The rate limiters, by organisation. */
    private final Map<String, TokenBucket> buckets = new HashMap<>();

    /** The drain rates of the queues, by organisation. */
    private final Map<String, DrainRate> drainRates = new HashMap<>();

    /** The number of queued requests, by organisation. */
    private final Map<String, Integer> waiting = new HashMap<>();

    /** The number of requests in all queues. */
    private int totalWaiting;

    /** The memory held by queued requests, in bytes. */
    private long waitingBytes;

    /**
     * Creates an admission control with empty queues.
     *
     * @param maxWaiting The most requests in all queues of this router.
     * @param maxWaitingBytes The most memory held by queued requests, in bytes.
     */
    public AdmissionControl(int maxWaiting, long maxWaitingBytes) {
        this.maxWaiting = maxWaiting;
        this.maxWaitingBytes = maxWaitingBytes;
    }

    /**
     * Counts a request against the rate limit of an organisation. Throws an exception of the kind
     * {@link ErrorKind#RATE_EXCEEDED} if the rate is exceeded.
     *
     * @param organisation The organisation.
     * @param contract Its contract.
     * @param now The current time, in milliseconds.
     */
    public void admitRate(String organisation, Contract contract, long now) {
        long wait =
                buckets.computeIfAbsent(organisation, key -> new TokenBucket(contract.burst(), now))
                        .take(contract.requestsPerSecond(), contract.burst(), now);
        if (wait > 0) {
            throw MartenwellException.of(
                            ErrorKind.RATE_EXCEEDED, "The organisation exceeded its request rate.")
                    .withRetryAfter(wait);
        }
    }

    /**
     * Adds a request to the queue of an organisation. Throws an exception of the kind {@link
     * ErrorKind#QUEUE_FULL}, {@link ErrorKind#ROUTER_FULL} or {@link ErrorKind#WAIT_TOO_LONG} if it
     * is rejected.
     *
     * @param organisation The organisation.
     * @param contract Its contract.
     * @param bytes The memory held by the request, in bytes.
     * @param now The current time, in milliseconds.
     */
    public void admitToQueue(String organisation, Contract contract, long bytes, long now) {
        int ahead = waiting.getOrDefault(organisation, 0);
        DrainRate drainRate = drainRates.computeIfAbsent(organisation, key -> new DrainRate());
        long estimate = drainRate.estimateMillis(ahead, now);
        if (ahead >= contract.maxWaiting()) {
            throw MartenwellException.of(
                            ErrorKind.QUEUE_FULL, "The queue of the organisation is full.")
                    .withRetryAfter(Math.max(1, drainRate.estimateMillis(0, now)));
        }
        if (totalWaiting >= maxWaiting || waitingBytes + bytes > maxWaitingBytes) {
            throw MartenwellException.of(
                            ErrorKind.ROUTER_FULL,
                            "The router has reached its limit of waiting requests.")
                    .withRetryAfter(Math.max(1, estimate));
        }
        if (estimate > contract.maxWaitMillis()) {
            throw MartenwellException.of(
                            ErrorKind.WAIT_TOO_LONG,
                            "The request would wait about " + estimate + " ms.")
                    .withRetryAfter(estimate - contract.maxWaitMillis());
        }
        drainRate.markBacklogged(now);
        waiting.merge(organisation, 1, Integer::sum);
        totalWaiting++;
        waitingBytes += bytes;
    }

    /**
     * Removes a request from the queue of an organisation.
     *
     * @param organisation The organisation.
     * @param bytes The memory held by the request, in bytes.
     * @param started {@code true} if the request was started, {@code false} if it was abandoned.
     * @param now The current time, in milliseconds.
     */
    public void leaveQueue(String organisation, long bytes, boolean started, long now) {
        DrainRate drainRate = drainRates.computeIfAbsent(organisation, key -> new DrainRate());
        if (started) {
            drainRate.recordStart(now);
        }
        totalWaiting--;
        waitingBytes -= bytes;
        if (waiting.merge(organisation, -1, Integer::sum) == 0) {
            waiting.remove(organisation);
            drainRate.markEmpty();
        }
    }

    /**
     * Estimates the time until the next queued request of an organisation starts.
     *
     * @param organisation The organisation.
     * @param now The current time, in milliseconds.
     * @return The time in milliseconds, 0 if unknown.
     */
    public long estimateMillis(String organisation, long now) {
        DrainRate drainRate = drainRates.get(organisation);
        return drainRate == null ? 0 : drainRate.estimateMillis(0, now);
    }
}
