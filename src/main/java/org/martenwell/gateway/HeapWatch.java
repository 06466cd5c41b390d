package org.martenwell.gateway;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.martenwell.service.ManagedService;

/**
 * Notices that what is in use nearly fills the heap, so that a gateway refuses new requests then,
 * which other gateways may serve, rather than end and break off all that it serves.
 */
final class HeapWatch implements ManagedService {

    /**
     * How long after the start the heap is looked at first, in milliseconds. Reading its use loads
     * classes that a start need not wait for.
     */
    private static final long FIRST_MILLIS = 2_000;

    /** How often the heap is looked at, in milliseconds; a burst takes seconds to fill it. */
    private static final long LOOK_MILLIS = 250;

    /**
     * The part of the heap's old generation above which requests are refused. Requests that are
     * served already may need the rest.
     */
    private static final double NEARLY_FULL = 0.85;

    /**
     * How often garbage is collected while the heap is nearly full, in milliseconds, since its use
     * is known only behind a collection, and few come while little is served.
     */
    private static final long COLLECT_MILLIS = 1_000;

    /** The loop. */
    private final NioReactor reactor;

    /** Logs changes. */
    private final GatewayLog log;

    /** Returns which part of the old generation was in use behind its last collection. */
    private final DoubleSupplier filled;

    /** Collects garbage. */
    private final Runnable collector;

    /** Whether the heap is nearly full. */
    private boolean nearlyFull;

    /** When garbage was last collected on purpose, in milliseconds. */
    private long collectedMillis = Long.MIN_VALUE / 2;

    /** Whether nothing is looked at any more. */
    private boolean stopped;

    /**
     * Creates a watch.
     *
     * @param reactor The loop.
     * @param log Logs changes.
     * @param filled Returns which part of the old generation was in use behind its last collection.
     * @param collector Collects garbage.
     */
    HeapWatch(NioReactor reactor, GatewayLog log, DoubleSupplier filled, Runnable collector) {
        this.reactor = reactor;
        this.log = log;
        this.filled = filled;
        this.collector = collector;
    }

    /**
     * Creates a watch of this process.
     *
     * @param reactor The loop.
     * @param log Logs changes.
     * @return The watch.
     */
    static HeapWatch of(NioReactor reactor, GatewayLog log) {
        return new HeapWatch(reactor, log, HeapWatch::oldGenerationFilled, System::gc);
    }

    @Override
    public Promise<Void> start() {
        reactor.delayBackground(FIRST_MILLIS, this::look);
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        stopped = true;
        return Promise.complete();
    }

    /**
     * Returns whether the heap is nearly full.
     *
     * @return {@code true} if new requests have to be refused.
     */
    boolean nearlyFull() {
        return nearlyFull;
    }

    /** Looks at the heap. */
    private void look() {
        if (stopped) {
            return;
        }
        boolean before = nearlyFull;
        if (before && reactor.currentTimeMillis() - collectedMillis >= COLLECT_MILLIS) {
            collectedMillis = reactor.currentTimeMillis();
            collector.run();
        }
        double part = filled.getAsDouble();
        nearlyFull = part >= NEARLY_FULL;
        if (nearlyFull != before) {
            log.changed(nearlyFull ? "heap-nearly-full" : "heap-has-room", part);
        }
        reactor.delayBackground(LOOK_MILLIS, this::look);
    }

    /**
     * Returns which part of the old generation was in use behind its last collection.
     *
     * @return The part, 0 if there is no such generation or was no collection.
     */
    private static double oldGenerationFilled() {
        Optional<MemoryPoolMXBean> largest =
                ManagementFactory.getMemoryPoolMXBeans().stream()
                        .filter(each -> each.getType() == MemoryType.HEAP)
                        .filter(MemoryPoolMXBean::isCollectionUsageThresholdSupported)
                        .max(Comparator.comparingLong(each -> each.getUsage().getMax()));
        return largest.map(MemoryPoolMXBean::getCollectionUsage)
                .filter(usage -> usage.getMax() > 0)
                .map(usage -> (double) usage.getUsed() / usage.getMax())
                .orElse(0.0);
    }
}
