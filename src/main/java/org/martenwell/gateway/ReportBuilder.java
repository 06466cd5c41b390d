package org.martenwell.gateway;

import java.util.ArrayList;
import java.util.List;
import org.martenwell.balance.CachedPartUpdate;
import org.martenwell.balance.GatewayReport;
import org.martenwell.balance.LoadSums;
import org.martenwell.balance.TargetLoadReport;
import org.martenwell.quarantine.QuarantineUpdate;
import org.martenwell.share.ShareCounts;

/** Builds the reports that this gateway sends to its peers. */
final class ReportBuilder {

    /**
     * The interval at which reports in a large fleet include fair shares, in milliseconds; shares
     * change slowly.
     */
    private static final long SPARSE_SHARES_INTERVAL_MILLIS = 400;

    private final GatewayCore core;

    private final String name;

    /** A random number that identifies this run of the gateway. */
    private final long incarnation;

    /** The time at which shares were last included, in milliseconds. */
    private long sharesSentMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a builder.
     *
     * @param core The gateway's state.
     * @param name The gateway's name.
     * @param incarnation A random number that identifies this run of the gateway.
     */
    ReportBuilder(GatewayCore core, String name, long incarnation) {
        this.core = core;
        this.name = name;
        this.incarnation = incarnation;
    }

    /**
     * Builds a regular report, with the changes of prompt caches since the last one.
     *
     * @param largeFleet {@code true} to omit shares from most reports. Peers then continue to use
     *     those of an earlier report.
     * @return The report.
     */
    GatewayReport next(boolean largeFleet) {
        long now = core.now();
        boolean includeShares =
                !largeFleet || now - sharesSentMillis >= SPARSE_SHARES_INTERVAL_MILLIS;
        if (includeShares) {
            sharesSentMillis = now;
        }
        return build(
                core.takeCacheUpdates(),
                includeShares ? core.shares().own(core.now()) : ShareCounts.NONE,
                core.harmful().takeUpdates(core.members()));
    }

    /**
     * Builds a report with all known contents of prompt caches and all quarantine updates.
     *
     * @return The report.
     */
    GatewayReport full() {
        return build(cacheContents(), core.shares().own(core.now()), core.harmful().snapshot());
    }

    /**
     * Builds a report without contents of prompt caches but with all quarantine updates.
     *
     * @return The report.
     */
    GatewayReport withoutCachedParts() {
        return build(List.of(), core.shares().own(core.now()), core.harmful().snapshot());
    }

    /**
     * Builds a report.
     *
     * @param cacheUpdates The changes or the full contents of prompt caches.
     * @param shares The use of fair shares, or {@link ShareCounts#NONE} to leave it out.
     * @param quarantine The updates on requests that crash targets.
     * @return The report.
     */
    private GatewayReport build(
            List<CachedPartUpdate> cacheUpdates,
            ShareCounts shares,
            List<QuarantineUpdate> quarantine) {
        return new GatewayReport(
                name,
                incarnation,
                core.configurationVersion(),
                loads(),
                shares,
                cacheUpdates,
                core.targets().draining(),
                quarantine);
    }

    /** {@return all known contents of prompt caches} */
    private List<CachedPartUpdate> cacheContents() {
        List<CachedPartUpdate> cached = new ArrayList<>();
        for (KnownTarget each : core.targets().all()) {
            String target = each.load().target().incarnation();
            each.load()
                    .promptCache()
                    .sizes()
                    .forEach(
                            (key, tokens) -> cached.add(new CachedPartUpdate(target, key, tokens)));
        }
        return cached;
    }

    /**
     * {@return the load that this gateway put on targets; targets without any of its requests are
     * left out}
     */
    private List<TargetLoadReport> loads() {
        List<TargetLoadReport> loads = new ArrayList<>();
        for (KnownTarget each : core.targets().all()) {
            LoadSums own = each.load().own();
            if (own.requests() > 0) {
                loads.add(new TargetLoadReport(each.load().target().incarnation(), own));
            }
        }
        return loads;
    }
}
