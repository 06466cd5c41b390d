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

    /** How often the loop's delay is looked at, in milliseconds. */
    private static final long TICK_MILLIS = 50;

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

    /** When the loop should look at its delay, in milliseconds. */
    private long dueMillis;

    /** The loop's longest delay since the last line, in milliseconds. */
    private long lateMillis;

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
        dueMillis = reactor.currentTimeMillis() + FIRST_MILLIS;
        writtenMillis = dueMillis;
        reactor.delayBackground(FIRST_MILLIS, this::tick);
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        stopped = true;
        return Promise.complete();
    }

    /** Looks at the loop's delay and writes a line if one is due. */
    private void tick() {
        if (stopped) {
            return;
        }
        long now = reactor.currentTimeMillis();
        lateMillis = Math.max(lateMillis, now - dueMillis);
        if (now - writtenMillis >= LINE_MILLIS) {
            write(now);
        }
        dueMillis = now + TICK_MILLIS;
        reactor.delayBackground(TICK_MILLIS, this::tick);
    }

    /**
     * Writes a line.
     *
     * @param now The present time, in milliseconds.
     */
    private void write(long now) {
        ProcessUsage.Interval used = usage.take();
        LOGGER.info(
                LogEvent.of("state")
                        .with("overMillis", now - writtenMillis)
                        .with("lateMillis", lateMillis)
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
        lateMillis = 0;
        writtenMillis = now;
    }
}
