package org.martenwell.gateway;

import java.util.HashMap;
import java.util.Map;
import org.martenwell.balance.GatewayReport;
import org.martenwell.balance.LoadSums;
import org.martenwell.balance.PlacedPart;
import org.martenwell.balance.TargetLoad;
import org.martenwell.share.ShareSums;

/** Takes in what peers report: loads, shares, what engines keep, and which targets leave. */
final class ReportIntake {

    /** What the gateway does. */
    private final GatewayCore core;

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
     * @return Whether it names a leaving target that was not known to leave.
     */
    boolean take(GatewayReport report) {
        takeLoads(report);
        Map<String, ShareSums> shares = new HashMap<>();
        report.shares().forEach(each -> shares.put(each.organisation(), each.sums()));
        core.shares().peer(report.gateway(), shares, core.now());
        report.placed().forEach(this::takePlaced);
        boolean news = false;
        for (String id : report.leaving()) {
            news |= core.targets().leavingByPeer(id);
        }
        return news;
    }

    /**
     * Takes in what a peer put on targets.
     *
     * @param report The peer's report.
     */
    private void takeLoads(GatewayReport report) {
        Map<String, LoadSums> loads = new HashMap<>();
        report.loads().forEach(each -> loads.put(each.target(), each.sums()));
        for (KnownTarget each : core.targets().all()) {
            String id = each.load().target().id();
            LoadSums sums = loads.getOrDefault(id, LoadSums.NONE);
            each.load().peer(report.gateway(), sums, core.now());
        }
    }

    /**
     * Takes in what a target keeps of a part of prompts.
     *
     * @param part The part.
     */
    private void takePlaced(PlacedPart part) {
        core.targets().find(part.target()).ifPresent(target -> takePlaced(target.load(), part));
    }

    /**
     * Takes in what a target keeps of a part of prompts.
     *
     * @param load The target.
     * @param part The part.
     */
    private void takePlaced(TargetLoad load, PlacedPart part) {
        if (part.tokens() > 0) {
            core.sharedKeys().seen(part.key());
            load.memory().keep(part.key(), part.tokens(), core.keptCapacity(load));
        } else {
            load.memory().drop(part.key());
        }
    }
}
