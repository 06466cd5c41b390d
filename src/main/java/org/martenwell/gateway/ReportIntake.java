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
 * Takes in what peers report: loads, shares, what engines keep, which targets leave, and what
 * speaks against requests.
 */
final class ReportIntake {

    /** What the gateway does. */
    private final GatewayCore core;

    /** The lives of targets that peers last had requests on, by peer. */
    private final Map<String, Set<String>> loaded = new HashMap<>();

    /**
     * Creates an intake.
     *
     * @param core What the gateway does.
     */
    ReportIntake(GatewayCore core) {
        this.core = core;
    }

    /**
     * Takes in a report.
     *
     * @param report The report.
     */
    void take(GatewayReport report) {
        takeLoads(report);
        if (!report.shares().isEmpty()) {
            core.shares().peer(report.gateway(), report.shares(), core.now());
        }
        report.placed().forEach(this::takePlaced);
        core.harmful().heard(report.quarantine());
        for (String life : report.leaving()) {
            core.targets().leavingByPeer(life, core.now());
        }
    }

    /**
     * Takes in what a peer put on targets.
     *
     * @param report The peer's report.
     */
    private void takeLoads(GatewayReport report) {
        Set<String> present = new HashSet<>();
        for (TargetLoadReport each : report.loads()) {
            present.add(each.target());
            takeLoad(report.gateway(), each.target(), each.sums());
        }
        Set<String> before = loaded.put(report.gateway(), present);
        if (before != null) {
            before.removeAll(present);
            before.forEach(each -> takeLoad(report.gateway(), each, LoadSums.NONE));
        }
    }

    /**
     * Takes in what a peer put on a target.
     *
     * @param peer The peer's name.
     * @param target The target's life.
     * @param sums What it put there.
     */
    private void takeLoad(String peer, String target, LoadSums sums) {
        core.targets()
                .findLife(target)
                .ifPresent(known -> known.load().peer(peer, sums, core.now()));
    }

    /**
     * Takes in what a target keeps of a part of prompts.
     *
     * @param part The part.
     */
    private void takePlaced(CachedPartUpdate part) {
        core.targets().findLife(part.target()).ifPresent(target -> takePlaced(target.load(), part));
    }

    /**
     * Takes in what a target keeps of a part of prompts.
     *
     * @param load The target.
     * @param part The part.
     */
    private void takePlaced(TargetLoad load, CachedPartUpdate part) {
        if (part.tokens() > 0) {
            core.sharedKeys().seen(part.key());
            load.promptCache().put(part.key(), part.tokens(), core.keptCapacity(load));
        } else {
            load.promptCache().evict(part.key());
        }
    }
}
