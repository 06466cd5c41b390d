package org.martenwell.gateway;

import java.util.ArrayList;
import java.util.List;
import org.martenwell.balance.GatewayReport;
import org.martenwell.balance.LoadSums;
import org.martenwell.balance.PlacedPart;
import org.martenwell.balance.TargetLoadReport;
import org.martenwell.quarantine.QuarantineUpdate;
import org.martenwell.share.ShareCounts;

/** Makes the reports of this gateway. */
final class ReportMaker {

    /** How often shares are told in a large fleet, in milliseconds; they change slowly. */
    private static final long SPARSE_SHARES_MILLIS = 400;

    /** What the gateway does. */
    private final GatewayCore core;

    /** The gateway's name. */
    private final String name;

    /** A number that is different after each start. */
    private final long incarnation;

    /** When shares were last told, in milliseconds. */
    private long sharesToldMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a maker.
     *
     * @param core What the gateway does.
     * @param name The gateway's name.
     * @param incarnation A number that is different after each start.
     */
    ReportMaker(GatewayCore core, String name, long incarnation) {
        this.core = core;
        this.name = name;
        this.incarnation = incarnation;
    }

    /**
     * Makes a report with what engines keep since the last one.
     *
     * @param sparse Whether shares are left out of most reports, because the fleet is large. Peers
     *     take a report without shares for one that tells nothing of them.
     * @return The report.
     */
    GatewayReport next(boolean sparse) {
        long now = core.now();
        boolean shares = !sparse || now - sharesToldMillis >= SPARSE_SHARES_MILLIS;
        if (shares) {
            sharesToldMillis = now;
        }
        return with(
                core.takePlaced(),
                shares ? core.shares().own(core.now()) : ShareCounts.NONE,
                core.harmful().takeUpdates(core.members()));
    }

    /**
     * Makes a report with all that engines keep, as far as this gateway knows.
     *
     * @return The report.
     */
    GatewayReport full() {
        return with(kept(), core.shares().own(core.now()), core.harmful().all());
    }

    /**
     * Makes a report that tells nothing of what engines keep.
     *
     * @return The report.
     */
    GatewayReport withoutKept() {
        return with(List.of(), core.shares().own(core.now()), core.harmful().all());
    }

    /**
     * Makes a report.
     *
     * @param placed What engines keep that peers are told.
     * @param shares What organisations asked and got, or empty if peers are not told.
     * @param quarantine What speaks against requests that peers are told.
     * @return The report.
     */
    private GatewayReport with(
            List<PlacedPart> placed, ShareCounts shares, List<QuarantineUpdate> quarantine) {
        return new GatewayReport(
                name,
                incarnation,
                core.version(),
                loads(),
                shares,
                placed,
                core.targets().leaving(),
                quarantine);
    }

    /**
     * Returns what engines keep, as far as this gateway knows.
     *
     * @return The parts.
     */
    private List<PlacedPart> kept() {
        List<PlacedPart> kept = new ArrayList<>();
        for (KnownTarget each : core.targets().all()) {
            String life = each.load().target().life();
            each.load()
                    .memory()
                    .kept()
                    .forEach((key, tokens) -> kept.add(new PlacedPart(life, key, tokens)));
        }
        return kept;
    }

    /**
     * Returns what this gateway put on targets.
     *
     * @return The loads; targets without any of its requests are left out.
     */
    private List<TargetLoadReport> loads() {
        List<TargetLoadReport> loads = new ArrayList<>();
        for (KnownTarget each : core.targets().all()) {
            LoadSums own = each.load().own();
            if (own.requests() > 0) {
                loads.add(new TargetLoadReport(each.load().target().life(), own));
            }
        }
        return loads;
    }
}
