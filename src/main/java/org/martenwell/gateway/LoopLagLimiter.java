package org.martenwell.gateway;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.util.function.LongSupplier;
import org.martenwell.service.ManagedService;

/**
 * Refuses a fraction of new requests while the event loop lags, or while accepted connections wait
 * to be read. Without it, a small box with many callers accepts more requests than it has processor
 * time for and serves all of them late. Refused callers may retry at other gateways. The fraction
 * grows with the lag, so it settles where the box keeps up.
 */
final class LoopLagLimiter implements ManagedService {

    /** The interval at which the lag is sampled, in milliseconds. */
    private static final long SAMPLE_INTERVAL_MILLIS = 25;

    /**
     * The weight of the last sample in the mean, low enough that a single garbage collection
     * refuses nothing.
     */
    private static final double SMOOTHING_FACTOR = 0.2;

    /**
     * The mean lag above which requests are refused, in milliseconds; a few iterations of a busy
     * loop, and small against latency objectives of 250 ms and more.
     */
    private static final double REFUSAL_START_MILLIS = 30;

    /** The mean lag at which nearly all requests are refused, in milliseconds. */
    private static final double REFUSAL_FULL_MILLIS = 130;

    /**
     * The largest fraction of refused requests. Some are always accepted, so that the lag still
     * reflects the cost of serving them.
     */
    private static final double MAX_REFUSED_FRACTION = 0.95;

    private final NioReactor reactor;

    /** Returns the time for which an accepted connection has not been read, in milliseconds. */
    private LongSupplier unreadMillis = () -> 0;

    /** The time for which the next sample is scheduled, in milliseconds. */
    private long dueMillis;

    /** The exponentially weighted mean of the lag, in milliseconds. */
    private double meanLagMillis;

    /** The largest lag since it was last taken, in milliseconds. */
    private long maxLagMillis;

    private boolean stopped;

    /**
     * Creates a limiter that refuses nothing yet.
     *
     * @param reactor The event loop.
     */
    LoopLagLimiter(NioReactor reactor) {
        this.reactor = reactor;
    }

    /**
     * Sets the source of the time for which connections wait; called at most once, before the
     * start.
     *
     * @param source Returns the time for which an accepted connection has not been read, in
     *     milliseconds.
     */
    void observeUnread(LongSupplier source) {
        unreadMillis = source;
    }

    @Override
    public Promise<Void> start() {
        scheduleSample();
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        stopped = true;
        return Promise.complete();
    }

    /** {@return the exponentially weighted mean of the lag, in milliseconds} */
    double meanMillis() {
        return meanLagMillis;
    }

    /** {@return the fraction of new requests that is refused, from 0 to 1} */
    double refusedFraction() {
        double refusedFraction =
                (meanLagMillis - REFUSAL_START_MILLIS)
                        / (REFUSAL_FULL_MILLIS - REFUSAL_START_MILLIS);
        return Math.min(MAX_REFUSED_FRACTION, Math.max(0, refusedFraction));
    }

    /**
     * Returns the largest lag since the last call.
     *
     * @return The lag in milliseconds.
     */
    long takeMaxLagMillis() {
        long maxMillis = maxLagMillis;
        maxLagMillis = 0;
        return maxMillis;
    }

    /** Samples the lag and schedules the next sample. */
    private void sample() {
        if (stopped) {
            return;
        }
        long lateMillis = Math.max(0, reactor.currentTimeMillis() - dueMillis);
        long lagMillis = Math.max(lateMillis, unreadMillis.getAsLong());
        meanLagMillis += SMOOTHING_FACTOR * (lagMillis - meanLagMillis);
        maxLagMillis = Math.max(maxLagMillis, lagMillis);
        scheduleSample();
    }

    private void scheduleSample() {
        dueMillis = reactor.currentTimeMillis() + SAMPLE_INTERVAL_MILLIS;
        reactor.delayBackground(SAMPLE_INTERVAL_MILLIS, this::sample);
    }
}
