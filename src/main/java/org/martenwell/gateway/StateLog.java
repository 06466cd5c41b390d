package org.martenwell.gateway;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.util.function.IntSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.observe.LogEvent;
import org.martenwell.observe.ProcessUsage;
import org.martenwell.service.ManagedService;

/**
 * Logs once a second what a gateway is short of: processor, descriptors, heap or engines, and how
 * the organisations that ask most share them. One line a second, whatever the load.
 */
final class StateLog implements ManagedService {

    /** The log. */
    private static final Logger LOGGER = LogManager.getLogger(StateLog.class);

    /**
     * How long after the start the first line is written, in milliseconds. Reading a process's
     * usage loads classes that a start need not wait for.
     */
    private static final long FIRST_MILLIS = 3_000;

    /** How often a line is written, in milliseconds. */
    private static final long LINE_MILLIS = 1_000;

    /** Of how many organisations a line tells: those that ask most. */
    private static final int ORGANISATIONS = 3;

    /** The loop. */
    private final NioReactor reactor;

    /** What all requests share. */
    private final GatewayCore core;

    /** Returns how many callers are connected. */
    private final IntSupplier connections;

    /** What the process uses of its box. */
    private final ProcessUsage usage = new ProcessUsage();

    /** When the last line was written, in milliseconds. */
    private long writtenMillis;

    /** Whether no line is written any more. */
    private boolean stopped;

    /**
     * Creates a log.
     *
     * @param reactor The loop.
     * @param core What all requests share.
     * @param connections Returns how many callers are connected.
     */
    StateLog(NioReactor reactor, GatewayCore core, IntSupplier connections) {
        this.reactor = reactor;
        this.core = core;
        this.connections = connections;
    }

    @Override
    public Promise<Void> start() {
        writtenMillis = reactor.currentTimeMillis();
        reactor.delayBackground(FIRST_MILLIS, this::write);
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        stopped = true;
        return Promise.complete();
    }

    /** Writes a line. */
    private void write() {
        if (stopped) {
            return;
        }
        long now = reactor.currentTimeMillis();
        ProcessUsage.Interval used = usage.take();
        LOGGER.info(
                LogEvent.of("state")
                        .with("overMillis", now - writtenMillis)
                        .with("lateMillis", core.pressure().takeLongestMillis())
                        .with("refusedPart", core.pressure().part())
                        .with("connections", connections.getAsInt())
                        .with("serving", core.serving())
                        .with("waiting", core.queue().size())
                        .with("processorMillis", used.processorMillis())
                        .with("collectionMillis", used.collectionMillis())
                        .with("heapMegabytes", used.heapMegabytes())
                        .with("descriptors", used.descriptors())
                        .with("descriptorLimit", used.descriptorLimit())
                        .with("shares", core.shares().summary(ORGANISATIONS))
                        .message());
        writtenMillis = now;
        reactor.delayBackground(LINE_MILLIS, this::write);
    }
}
