package org.martenwell.gateway;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.observe.LogEvent;
import org.martenwell.observe.ProcessUsage;
import org.martenwell.service.ManagedService;
import org.martenwell.service.PeriodicTask;

/**
 * Logs the state of the gateway once per second: processor, descriptors, heap, requests, the fair
 * shares of the organisations with the highest demand, and what became of the requests of all.
 */
final class StateLog implements ManagedService {

    private static final Logger LOGGER = LogManager.getLogger(StateLog.class);

    /**
     * The delay of the first line after the start, in milliseconds. Reading process usage loads
     * classes that would slow the start.
     */
    private static final long INITIAL_DELAY_MILLIS = 3_000;

    /** The interval between lines, in milliseconds. */
    private static final long INTERVAL_MILLIS = 1_000;

    /** The number of organisations in a line, those with the highest demand. */
    private static final int TOP_ORGANISATIONS = 3;

    private static final double PERCENT = 100;

    private final NioReactor reactor;

    private final GatewayCore core;

    /** The name of this gateway. */
    private final String gateway;

    /** Returns the number of caller connections. */
    private final IntSupplier connections;

    /** Returns the age of the last response of the directory and of the last report. */
    private final Supplier<InformationAge> informationAge;

    /** The resource usage of the process. */
    private final ProcessUsage usage = new ProcessUsage();

    /** The time of the last line, in milliseconds. */
    private long writtenMillis;

    private final PeriodicTask writes;

    /**
     * Creates a logger.
     *
     * @param reactor The event loop.
     * @param core The gateway's state.
     * @param gateway The name of this gateway.
     * @param connections Returns the number of caller connections.
     * @param informationAge Returns the age of the last response of the directory and of the last
     *     report of a peer.
     */
    StateLog(
            NioReactor reactor,
            GatewayCore core,
            String gateway,
            IntSupplier connections,
            Supplier<InformationAge> informationAge) {
        this.reactor = reactor;
        this.core = core;
        this.gateway = gateway;
        this.connections = connections;
        this.informationAge = informationAge;
        this.writes = new PeriodicTask(reactor, INITIAL_DELAY_MILLIS, INTERVAL_MILLIS, this::write);
    }

    @Override
    public Promise<Void> start() {
        writtenMillis = reactor.currentTimeMillis();
        return writes.start();
    }

    @Override
    public Promise<Void> stop() {
        return writes.stop();
    }

    /** Logs a line. */
    private void write() {
        long now = reactor.currentTimeMillis();
        ProcessUsage.Interval used = usage.measure();
        InformationAge age = informationAge.get();
        LogEvent state =
                LogEvent.of("state")
                        .with("overMillis", now - writtenMillis)
                        .with("lateMillis", core.loopLag().takeMaxLagMillis())
                        .with("refusedPart", core.loopLag().refusedFraction())
                        .with("refusedForProcessor", core.processor().refusedFraction())
                        .with("configuration", core.configurationVersion())
                        .with("reportedConfiguration", age.reportedVersion())
                        .with("storeAgeMillis", age.storeMillis())
                        .with("peerAgeMillis", age.peersMillis())
                        .with("connections", connections.getAsInt())
                        .with("serving", core.activeRequests())
                        .with("waiting", core.queue().size())
                        .with("processorMillis", used.processorMillis())
                        .with("collectionMillis", used.collectionMillis())
                        .with("heapMegabytes", used.heapMegabytes())
                        .with("descriptors", used.descriptors())
                        .with("descriptorLimit", used.descriptorLimit())
                        .with("shares", core.shares().summary(TOP_ORGANISATIONS));
        core.offloading().ifPresent(each -> state.with("offloadedPart", each.fraction()));
        LOGGER.info(state.message());
        Map<String, Map<String, Long>> tokens = core.dispositions().take();
        if (!tokens.isEmpty()) {
            LOGGER.info(
                    LogEvent.of("organisations")
                            .with("gateway", gateway)
                            .with("overMillis", now - writtenMillis)
                            .with("tokens", tokens)
                            .message());
        }
        Map<String, Map<String, Long>> refused = core.dispositions().takeRefusals();
        if (!refused.isEmpty()) {
            LOGGER.info(
                    LogEvent.of("refusals")
                            .with("gateway", gateway)
                            .with("sharesAgeMillis", core.shares().oldestReportMillis(now))
                            .with("usedPercent", usedPercent(refused.keySet()))
                            .with("tokens", refused)
                            .message());
        }
        writtenMillis = now;
    }

    /** Returns how much organisations have used of their shares of the observed capacity. */
    private Map<String, Long> usedPercent(Set<String> organisations) {
        Map<String, Long> percent = new TreeMap<>();
        for (String each : organisations) {
            percent.put(each, Math.round(PERCENT * core.shares().observedUse(each)));
        }
        return percent;
    }
}
