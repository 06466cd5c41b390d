package org.martenwell.gateway;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.martenwell.balance.CapacityNotice;
import org.martenwell.balance.GatewayReport;
import org.martenwell.balance.ReportBatch;
import org.martenwell.message.PeerMessage;
import org.martenwell.peer.ReportBatches;
import org.martenwell.peer.TargetNotice;

/**
 * The reports that a relay forwards with its next report. A batch from another failure domain is
 * forwarded at most once.
 */
final class RelayedReports {

    /** The most batches from other failure domains that are retained until the next report. */
    private static final int MAX_BATCHES = 64;

    private final String self;

    /** The notices of other gateways on targets, without duplicates. */
    private final Set<TargetNotice> notices = new LinkedHashSet<>();

    /** The capacity notices of gateways in the same failure domain. */
    private final List<CapacityNotice> capacities = new ArrayList<>();

    /** The reports of gateways in the same failure domain. */
    private final List<GatewayReport> collected = new ArrayList<>();

    /** The batches of relays of other failure domains. */
    private final List<ReportBatch> fromOtherDomains = new ArrayList<>();

    /**
     * Creates an empty collection.
     *
     * @param self This gateway's name.
     */
    RelayedReports(String self) {
        this.self = self;
    }

    /**
     * Adds a report that arrived directly from its gateway.
     *
     * @param report The report.
     */
    void add(GatewayReport report) {
        collected.add(report);
    }

    /**
     * Adds a notice on a target.
     *
     * @param notice The notice.
     */
    void add(TargetNotice notice) {
        notices.remove(notice);
        notices.add(notice);
    }

    /**
     * Adds a capacity notice, which must reach only gateways that know the message.
     *
     * @param notice The notice.
     */
    void add(CapacityNotice notice) {
        capacities.add(notice);
    }

    /**
     * Adds a batch from another failure domain. One that was already forwarded is dropped, since
     * two relays of a domain would otherwise send it to each other endlessly.
     *
     * @param batch The batch.
     */
    void add(ReportBatch batch) {
        if (!batch.forwarded() && fromOtherDomains.size() < MAX_BATCHES) {
            fromOtherDomains.add(batch.asForwarded());
        }
    }

    /**
     * Builds a batch of the collected notices and reports.
     *
     * @param own This gateway's own report.
     * @return The batch.
     */
    ReportBatch batchWith(GatewayReport own) {
        collected.add(own);
        List<PeerMessage> messages = new ArrayList<>(notices);
        messages.addAll(capacities);
        messages.addAll(collected);
        return ReportBatches.of(self, messages);
    }

    /** {@return the batches of other failure domains, marked as forwarded} */
    List<ReportBatch> fromOtherDomains() {
        return List.copyOf(fromOtherDomains);
    }

    /** Removes all notices, reports and batches. */
    void clear() {
        notices.clear();
        capacities.clear();
        collected.clear();
        fromOtherDomains.clear();
    }
}
