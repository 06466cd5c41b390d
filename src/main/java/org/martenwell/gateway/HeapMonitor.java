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
import org.martenwell.service.PeriodicTask;

/**
 * Detects that the heap is nearly full of live objects. The gateway then refuses new requests,
 * which other gateways may serve, instead of running out of memory and losing all requests in
 * progress.
 */
final class HeapMonitor implements ManagedService {

    /**
     * The delay of the first check after the start, in milliseconds. Reading memory pools loads
     * classes that would slow the start.
     */
    private static final long INITIAL_DELAY_MILLIS = 2_000;

    /**
     * The interval of checks, in milliseconds; a burst of requests takes seconds to fill the heap.
     */
    private static final long CHECK_INTERVAL_MILLIS = 250;

    /**
     * The occupancy of the old generation from which requests are refused, from 0 to 1. The rest is
     * reserved for requests in progress.
     */
    private static final double MAX_OCCUPANCY = 0.85;

    /**
     * The interval of forced garbage collections while the heap is nearly full, in milliseconds.
     * Occupancy is only known after a collection, and an idle gateway has few.
     */
    private static final long GC_INTERVAL_MILLIS = 1_000;

    /**
     * Memory pool of the old generation. It is looked up once and on first use, since the look-up
     * is expensive and loads classes.
     */
    private static final class OldGeneration {

        private static final Optional<MemoryPoolMXBean> BEAN =
                ManagementFactory.getMemoryPoolMXBeans().stream()
                        .filter(each -> each.getType() == MemoryType.HEAP)
                        .filter(MemoryPoolMXBean::isCollectionUsageThresholdSupported)
                        .max(Comparator.comparingLong(each -> each.getUsage().getMax()));

        private OldGeneration() {}
    }

    private final NioReactor reactor;

    private final GatewayLog log;

    /** Returns the occupancy of the old generation after its last collection, from 0 to 1. */
    private final DoubleSupplier occupancy;

    /** Forces a garbage collection. */
    private final Runnable garbageCollector;

    private boolean nearlyFull;

    /** The time of the last forced collection, in milliseconds. */
    private long lastGcMillis = Long.MIN_VALUE / 2;

    private final PeriodicTask checks;

    /**
     * Creates a monitor.
     *
     * @param reactor The event loop.
     * @param log Receives changes of the state.
     * @param occupancy Returns the occupancy of the old generation after its last collection, from
     *     0 to 1.
     * @param garbageCollector Forces a garbage collection.
     */
    HeapMonitor(
            NioReactor reactor,
            GatewayLog log,
            DoubleSupplier occupancy,
            Runnable garbageCollector) {
        this.reactor = reactor;
        this.log = log;
        this.occupancy = occupancy;
        this.garbageCollector = garbageCollector;
        this.checks =
                new PeriodicTask(reactor, INITIAL_DELAY_MILLIS, CHECK_INTERVAL_MILLIS, this::check);
    }

    /**
     * Creates a monitor of this process.
     *
     * @param reactor The event loop.
     * @param log Receives changes of the state.
     * @return The monitor, not started.
     */
    static HeapMonitor of(NioReactor reactor, GatewayLog log) {
        return new HeapMonitor(reactor, log, HeapMonitor::oldGenerationOccupancy, System::gc);
    }

    @Override
    public Promise<Void> start() {
        return checks.start();
    }

    @Override
    public Promise<Void> stop() {
        return checks.stop();
    }

    /** {@return {@code true} if the heap is nearly full and new requests have to be refused} */
    boolean nearlyFull() {
        return nearlyFull;
    }

    /** Updates the state, after a forced collection if one is due. */
    private void check() {
        boolean before = nearlyFull;
        if (before && reactor.currentTimeMillis() - lastGcMillis >= GC_INTERVAL_MILLIS) {
            lastGcMillis = reactor.currentTimeMillis();
            garbageCollector.run();
        }
        double current = occupancy.getAsDouble();
        nearlyFull = current >= MAX_OCCUPANCY;
        if (nearlyFull != before) {
            log.changed(nearlyFull ? "heap-nearly-full" : "heap-has-room", current);
        }
    }

    /**
     * Reads the occupancy of this process's old generation after its last collection.
     *
     * @return The occupancy from 0 to 1; 0 if there is no such generation or was no collection.
     */
    private static double oldGenerationOccupancy() {
        return OldGeneration.BEAN
                .map(MemoryPoolMXBean::getCollectionUsage)
                .filter(usage -> usage.getMax() > 0)
                .map(usage -> (double) usage.getUsed() / usage.getMax())
                .orElse(0.0);
    }
}
