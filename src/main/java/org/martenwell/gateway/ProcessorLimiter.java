package org.martenwell.gateway;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.martenwell.service.ManagedService;

/**
 * Refuses a fraction of new requests while the process uses nearly all processor time that its box
 * grants and the event loop falls behind. Callers of a large organisation may all come to one box,
 * which would serve all of them late.
 *
 * <p>The use alone decides nothing. What a process measures of its processor time may exceed what
 * its box counts against the grant, and a box that refuses requests while it is idle serves the
 * organisations whose callers come to it less than others.
 */
final class ProcessorLimiter implements ManagedService {

    /**
     * The delay of the first sample after the start, in milliseconds. Reading the processor time
     * loads classes that would slow the start, which uses all granted time anyway.
     */
    private static final long INITIAL_DELAY_MILLIS = 2_000;

    /** The interval at which the use is sampled, in milliseconds. */
    private static final long SAMPLE_INTERVAL_MILLIS = 100;

    /**
     * The weight of the last sample in the mean use, low enough that a peak of less than half a
     * second refuses nothing.
     */
    private static final double SMOOTHING_FACTOR = 0.3;

    /** The aimed use, as a fraction of the granted time. */
    private static final double AIMED_USE = 0.87;

    /**
     * The aimed mean lag of the event loop, in milliseconds. It grows with the queue of a box that
     * is short of processor time.
     */
    private static final double AIMED_LAG_MILLIS = 10;

    /** The lag beyond the aimed one that counts as an excess of 1, in milliseconds. */
    private static final double LAG_UNIT_MILLIS = 100;

    /**
     * The change of the refused fraction per excess and second, the same in both directions: a
     * fraction that outlasts its cause refuses requests that the box could serve.
     */
    private static final double CHANGE_PER_SECOND = 6;

    /** The largest refused fraction, so that the use still reflects the cost of requests. */
    private static final double MAX_REFUSED_FRACTION = 0.9;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final NioReactor reactor;

    /** The granted processors, a fraction of one on small boxes. */
    private final double processors;

    /** Returns the processor time of this process, in milliseconds. */
    private final LongSupplier usedMillis;

    /** Returns the mean lag of the event loop, in milliseconds. */
    private final DoubleSupplier lagMillis;

    /** The processor time at the last sample, in milliseconds. */
    private long lastUsedMillis;

    /** The time of the last sample, in milliseconds. */
    private long lastSampleMillis;

    /** The exponentially weighted mean of the used fraction of the grant. */
    private double meanUse;

    private double refusedFraction;

    /** Receives each sample. */
    private ProcessorSampleListener listener = (usedFraction, lag, elapsedMillis) -> {};

    private boolean stopped;

    /**
     * Creates a limiter that refuses nothing yet.
     *
     * @param reactor The event loop.
     * @param processors The processor time that the box grants, in processors.
     * @param usedMillis Returns the processor time of this process, in milliseconds.
     * @param lagMillis Returns the mean lag of the event loop, in milliseconds.
     */
    ProcessorLimiter(
            NioReactor reactor,
            double processors,
            LongSupplier usedMillis,
            DoubleSupplier lagMillis) {
        this.reactor = reactor;
        this.processors = processors;
        this.usedMillis = usedMillis;
        this.lagMillis = lagMillis;
    }

    /**
     * Sets the receiver of each sample; called at most once.
     *
     * @param receiver The receiver.
     */
    void onSample(ProcessorSampleListener receiver) {
        listener = receiver;
    }

    @Override
    public Promise<Void> start() {
        reactor.delayBackground(INITIAL_DELAY_MILLIS, this::begin);
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        stopped = true;
        return Promise.complete();
    }

    /** {@return the fraction of new requests that is refused, from 0 to 1} */
    double refusedFraction() {
        return refusedFraction;
    }

    private void begin() {
        lastSampleMillis = reactor.currentTimeMillis();
        lastUsedMillis = usedMillis.getAsLong();
        reactor.delayBackground(SAMPLE_INTERVAL_MILLIS, this::sample);
    }

    private void sample() {
        if (stopped) {
            return;
        }
        // First, so that a sample that fails isn't the last one.
        reactor.delayBackground(SAMPLE_INTERVAL_MILLIS, this::sample);
        long now = reactor.currentTimeMillis();
        long used = usedMillis.getAsLong();
        double elapsedMillis = Math.max(1, now - lastSampleMillis);
        double use = (used - lastUsedMillis) / (elapsedMillis * processors);
        double lag = lagMillis.getAsDouble();
        lastSampleMillis = now;
        lastUsedMillis = used;
        adjust(use, lag, elapsedMillis);
        listener.sampled(use, lag, elapsedMillis);
    }

    private void adjust(double use, double lag, double elapsedMillis) {
        meanUse += SMOOTHING_FACTOR * (Math.min(1, use) - meanUse);
        double lagExcess = (lag - AIMED_LAG_MILLIS) / LAG_UNIT_MILLIS;
        double excess = Math.min(meanUse - AIMED_USE, lagExcess);
        double change = CHANGE_PER_SECOND * excess * elapsedMillis / MILLIS_PER_SECOND;
        double changed = refusedFraction + change;
        refusedFraction = Math.max(0, Math.min(MAX_REFUSED_FRACTION, changed));
    }
}
