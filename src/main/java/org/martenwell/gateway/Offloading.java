package org.martenwell.gateway;

import java.util.Collection;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.martenwell.directory.GatewayMember;
import org.martenwell.offload.OffloadController;
import org.martenwell.offload.OffloadPeers;
import org.martenwell.offload.SpareTime;
import org.martenwell.settings.GatewaySettings;
import org.martenwell.settings.ProcessorSettings;

/**
 * Supplies the decision on offloading with samples of the processor time, notices of peers and the
 * gateways of the fleet, and offers this gateway's spare processor time to peers.
 */
final class Offloading {

    /** The unit of the gauge of the offloaded fraction. */
    private static final int THOUSANDTHS = 1_000;

    private final OffloadController controller = new OffloadController();

    private final OffloadPeers peers;

    private final SpareTime spare;

    /** Returns whether the gateway refuses requests at its limits. */
    private final BooleanSupplier refusing;

    /** Returns the current time, in milliseconds. */
    private final LongSupplier now;

    private final OffloadDecision decision;

    /**
     * Creates the state of a gateway that offloads nothing yet.
     *
     * @param settings The gateway's settings.
     * @param refusing Returns whether the gateway refuses requests at its limits.
     * @param now Returns the current time, in milliseconds.
     * @param random Returns random numbers from 0 (inclusive) to 1 (exclusive).
     */
    Offloading(
            GatewaySettings settings,
            BooleanSupplier refusing,
            LongSupplier now,
            DoubleSupplier random) {
        this.refusing = refusing;
        this.now = now;
        this.peers = new OffloadPeers(settings.name(), settings.failureDomain());
        this.spare =
                new SpareTime(
                        settings.processor().orElse(ProcessorSettings.WHOLE).processors(),
                        controller);
        this.decision = new OffloadDecision(controller, peers, spare, refusing, random);
    }

    /**
     * Connects the state to its inputs, and registers its metrics.
     *
     * @param processor Samples the processor time.
     * @param capacities Exchanges notices with peers.
     * @param log Receives the metrics.
     */
    void register(ProcessorLimiter processor, CapacityExchange capacities, GatewayLog log) {
        processor.onSample(controller::sample);
        capacities.offer(this::spareMillis);
        capacities.onNotice(notice -> peers.noticed(notice, now.getAsLong()));
        log.metrics()
                .registerGauge(
                        "offloaded_fraction",
                        () -> Math.round(controller.fraction() * THOUSANDTHS));
        log.metrics().registerGauge("spare_processor_millis", this::spareMillis);
    }

    /**
     * Updates the gateways of the fleet.
     *
     * @param members The gateways, including this one.
     */
    void members(Collection<GatewayMember> members) {
        peers.members(members, now.getAsLong());
    }

    /** Accepts no more requests of peers, since the gateway stops. */
    void stop() {
        spare.stop();
    }

    /** {@return the decision on each request} */
    OffloadDecision decision() {
        return decision;
    }

    /** {@return the fraction of new requests to offload, from 0 to 1} */
    double fraction() {
        return controller.fraction();
    }

    private int spareMillis() {
        return spare.millis(refusing.getAsBoolean());
    }
}
