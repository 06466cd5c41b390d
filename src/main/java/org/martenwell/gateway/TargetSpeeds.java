package org.martenwell.gateway;

import io.activej.reactor.nio.NioReactor;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.DoubleStream;
import org.martenwell.balance.CapacityNotice;
import org.martenwell.balance.EventIntervalRate;
import org.martenwell.balance.RelativeSpeeds;
import org.martenwell.balance.TargetLoad;
import org.martenwell.balance.TargetSpeed;
import org.martenwell.balance.TargetSpeedReport;

/**
 * Estimates the speeds of engines from samples of this gateway and its peers. All speeds are 1
 * while the fleet has gateways that exchange no capacity notices: those gateways treat all engines
 * alike, and the samples of one gateway alone are too few.
 */
final class TargetSpeeds {

    /** The interval at which speeds are computed from samples, in milliseconds. */
    private static final long UPDATE_INTERVAL_MILLIS = 200;

    private static final double THOUSANDTHS = 1_000;

    private final NioReactor reactor;

    private final TargetTable targets;

    private final CapacityExchange capacities;

    /** The usual interval between events, by service. */
    private final Map<String, EventIntervalRate> intervalRates = new HashMap<>();

    /** The time of the last computation, in milliseconds. */
    private long updatedMillis = Long.MIN_VALUE / 2;

    /**
     * Creates an estimate, and subscribes to the notices of peers.
     *
     * @param reactor The event loop, which supplies the time.
     * @param targets The targets.
     * @param capacities Exchanges samples with peers.
     */
    TargetSpeeds(NioReactor reactor, TargetTable targets, CapacityExchange capacities) {
        this.reactor = reactor;
        this.targets = targets;
        this.capacities = capacities;
        capacities.reportSpeeds(this::takeReports);
        capacities.onNotice(this::apply);
    }

    /**
     * Adds a sample of this gateway.
     *
     * @param load The engine.
     * @param ratio The expected time divided by the measured one.
     */
    void observe(TargetLoad load, double ratio) {
        if (capacities.allowed()) {
            load.speed().observe(ratio, reactor.currentTimeMillis());
        }
    }

    /**
     * Adds a sample of this gateway from the intervals between the events of a response.
     *
     * @param load The engine.
     * @param intervalMillis The usual interval in the response, in milliseconds.
     */
    void observeInterval(TargetLoad load, double intervalMillis) {
        intervalRates
                .computeIfAbsent(load.target().service(), service -> new EventIntervalRate())
                .speed(intervalMillis)
                .ifPresent(ratio -> observe(load, ratio));
    }

    /** Computes the speeds if that is due. Called before each choice of an engine. */
    void update() {
        long now = reactor.currentTimeMillis();
        if (now - updatedMillis < UPDATE_INTERVAL_MILLIS) {
            return;
        }
        updatedMillis = now;
        Map<String, List<TargetSpeed>> speeds = new HashMap<>();
        for (KnownTarget each : targets.all()) {
            if (!capacities.allowed()) {
                each.load().speed().reset();
            }
            speeds.computeIfAbsent(each.load().target().service(), service -> new ArrayList<>())
                    .add(each.load().speed());
        }
        speeds.values().forEach(each -> RelativeSpeeds.update(each, now));
    }

    /** {@return the lowest speed of a target, in thousandths; 1,000 if there are no targets} */
    long slowestThousandths() {
        return Math.round(factors().min().orElse(1) * THOUSANDTHS);
    }

    /** {@return the highest speed of a target, in thousandths; 1,000 if there are no targets} */
    long fastestThousandths() {
        return Math.round(factors().max().orElse(1) * THOUSANDTHS);
    }

    private DoubleStream factors() {
        update();
        return targets.all().stream().mapToDouble(each -> each.load().speed().factor());
    }

    private List<TargetSpeedReport> takeReports() {
        List<TargetSpeedReport> reports = new ArrayList<>();
        for (KnownTarget each : targets.all()) {
            each.load()
                    .speed()
                    .takeReport(each.load().target().incarnation())
                    .ifPresent(reports::add);
        }
        return reports;
    }

    private void apply(CapacityNotice notice) {
        if (capacities.allowed()) {
            for (TargetSpeedReport each : notice.speeds()) {
                targets.findByIncarnation(each.target())
                        .ifPresent(
                                known ->
                                        known.load()
                                                .speed()
                                                .apply(each, reactor.currentTimeMillis()));
            }
        }
    }
}
