package org.martenwell.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.martenwell.balance.CachedPartUpdate;
import org.martenwell.balance.GatewayReport;
import org.martenwell.balance.LoadSums;
import org.martenwell.balance.TargetLoad;
import org.martenwell.balance.TargetLoadReport;

/**
 * Applies the reports of peers to the state of this gateway: loads, fair shares, contents of prompt
 * caches, draining targets and quarantine updates.
 */
final class ReportReceiver {

    private final GatewayCore core;

    /** The incarnations of targets with requests of a peer, as of its last report, by peer. */
    private final Map<String, Set<String>> loadedTargets = new HashMap<>();

    /**
     * Creates a receiver of reports.
     *
     * @param core The gateway's state.
     */
    ReportReceiver(GatewayCore core) {
        this.core = core;
    }

    /**
     * Applies a report.
     *
     * @param report The report.
     */
    void apply(GatewayReport report) {
        updateLoads(report);
        if (!report.shares().isEmpty()) {
            core.shares().applyPeerReport(report.gateway(), report.shares(), core.now());
        }
        report.cacheUpdates().forEach(this::updateCachedPart);
        core.harmful().applyUpdates(report.quarantine());
        for (String incarnation : report.drainingTargets()) {
            core.targets().markDrainingByPeer(incarnation, core.now());
        }
    }

    /**
     * Replaces the load that a peer put on targets. Targets that the report omits have none of its
     * requests any more.
     *
     * @param report The peer's report.
     */
    private void updateLoads(GatewayReport report) {
        Set<String> present = new HashSet<>();
        for (TargetLoadReport each : report.loads()) {
            present.add(each.target());
            updateLoad(report.gateway(), each.target(), each.sums());
        }
        Set<String> before = loadedTargets.put(report.gateway(), present);
        if (before != null) {
            before.removeAll(present);
            before.forEach(each -> updateLoad(report.gateway(), each, LoadSums.NONE));
        }
    }

    /**
     * Replaces the load that a peer put on a target, if that incarnation is known.
     *
     * @param peer The peer's name.
     * @param target The target's incarnation.
     * @param sums The load of the peer's requests.
     */
    private void updateLoad(String peer, String target, LoadSums sums) {
        core.targets()
                .findByIncarnation(target)
                .ifPresent(known -> known.load().applyPeerReport(peer, sums, core.now()));
    }

    /**
     * Applies a change of a target's prompt cache, if that incarnation is known.
     *
     * @param part The part that is cached or no longer cached.
     */
    private void updateCachedPart(CachedPartUpdate part) {
        core.targets()
                .findByIncarnation(part.target())
                .ifPresent(target -> updateCachedPart(target.load(), part));
    }

    /**
     * Applies a change of a target's prompt cache.
     *
     * @param load The target.
     * @param part The part that is cached or no longer cached.
     */
    private void updateCachedPart(TargetLoad load, CachedPartUpdate part) {
        if (part.tokens() > 0) {
            core.sharedKeys().add(part.key());
            load.promptCache().put(part.key(), part.tokens(), core.promptCacheCapacity(load));
        } else {
            load.promptCache().evict(part.key());
        }
    }
}
