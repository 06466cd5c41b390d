package org.martenwell.admission;

import java.util.HashMap;
import java.util.Map;
import org.martenwell.configuration.Contract;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/**
 * Refuses requests at once that an organisation's contract or the router's limits do not allow or
 * that could not start in time. What is looked at is the organisation's own backlog, so that a
 * flood hurts its sender.
 */
public final class AdmissionControl {

    /** The most requests that wait at this router. */
    private final int maxWaiting;

    /** The most memory that waiting requests hold, in bytes. */
    private final long maxWaitingBytes;

    /** The request rates, by organisation. */
    private final Map<String, TokenBucket> buckets = new HashMap<>();

    /** The measures of how backlogs drain, by organisation. */
    private final Map<String, DrainRate> drains = new HashMap<>();

    /** How many requests wait, by organisation. */
    private final Map<String, Integer> waiting = new HashMap<>();

    /** How many requests wait at this router. */
    private int waitingInAll;

    /** The memory that waiting requests hold, in bytes. */
    private long waitingBytes;

    /**
     * Creates a control with nothing waiting.
     *
     * @param maxWaiting The most requests that wait at this router.
     * @param maxWaitingBytes The most memory that waiting requests hold, in bytes.
     */
    public AdmissionControl(int maxWaiting, long maxWaitingBytes) {
        this.maxWaiting = maxWaiting;
        this.maxWaitingBytes = maxWaitingBytes;
    }

    /**
     * Admits a request under its contract's rate, or throws an exception that refuses it.
     *
     * @param organisation The organisation.
     * @param contract Its contract.
     * @param now The time.
     */
    public void admitRate(String organisation, Contract contract, long now) {
        long wait =
                buckets.computeIfAbsent(organisation, key -> new TokenBucket(contract.burst(), now))
                        .take(contract.requestsPerSecond(), contract.burst(), now);
        if (wait > 0) {
            throw MartenwellException.of(
                            ErrorKind.RATE_EXCEEDED, "The organisation's request rate is used up.")
                    .withRetryAfter(wait);
        }
    }

    /**
     * Admits a request to waiting, or throws an exception that refuses it.
     *
     * @param organisation The organisation.
     * @param contract Its contract.
     * @param bytes The memory that the request holds, in bytes.
     * @param now The time.
     */
    public void admitWaiting(String organisation, Contract contract, long bytes, long now) {
        int ahead = waiting.getOrDefault(organisation, 0);
        DrainRate drain = drains.computeIfAbsent(organisation, key -> new DrainRate());
        long estimate = drain.estimateMillis(ahead, now);
        if (ahead >= contract.maxWaiting()) {
            throw MartenwellException.of(
                            ErrorKind.QUEUE_FULL,
                            "The organisation has as many requests waiting as it may.")
                    .withRetryAfter(Math.max(1, drain.estimateMillis(0, now)));
        }
        if (waitingInAll >= maxWaiting || waitingBytes + bytes > maxWaitingBytes) {
            throw MartenwellException.of(
                            ErrorKind.ROUTER_FULL, "The router has as much waiting as it may.")
                    .withRetryAfter(Math.max(1, estimate));
        }
        if (estimate > contract.maxWaitMillis()) {
            throw MartenwellException.of(
                            ErrorKind.WAIT_TOO_LONG,
                            "The request would wait about " + estimate + " ms.")
                    .withRetryAfter(estimate - contract.maxWaitMillis());
        }
        drain.backlogged(now);
        waiting.merge(organisation, 1, Integer::sum);
        waitingInAll++;
        waitingBytes += bytes;
    }

    /**
     * Notes that a request no longer waits.
     *
     * @param organisation The organisation.
     * @param bytes The memory that the request held, in bytes.
     * @param started {@code true} if it started, {@code false} if it was given up.
     * @param now The time.
     */
    public void endWaiting(String organisation, long bytes, boolean started, long now) {
        DrainRate drain = drains.computeIfAbsent(organisation, key -> new DrainRate());
        if (started) {
            drain.started(now);
        }
        waitingInAll--;
        waitingBytes -= bytes;
        if (waiting.merge(organisation, -1, Integer::sum) == 0) {
            waiting.remove(organisation);
            drain.empty();
        }
    }

    /**
     * Estimates when a request of an organisation would be admitted.
     *
     * @param organisation The organisation.
     * @param now The time.
     * @return The time until the next place is free, in milliseconds, 0 if unknown.
     */
    public long estimateMillis(String organisation, long now) {
        DrainRate drain = drains.get(organisation);
        return drain == null ? 0 : drain.estimateMillis(0, now);
    }
}
