package org.martenwell.gateway;

import java.util.ArrayList;
import java.util.List;
import org.martenwell.balance.GatewayReport;
import org.martenwell.balance.ReportBatch;
import org.martenwell.peer.ReportBatches;

/** What a relay passes on with its next report. Nothing is passed on by two relays in a row. */
final class RelayedReports {

    /** The most batches of other failure domains that are kept for the next report. */
    private static final int MAX_BATCHES = 64;

    /** This gateway's name. */
    private final String self;

    /** The reports of gateways of the same failure domain. */
    private final List<GatewayReport> gathered = new ArrayList<>();

    /** The batches of other failure domains' relays. */
    private final List<ReportBatch> foreign = new ArrayList<>();

    /**
     * Creates reports of which there are none yet.
     *
     * @param self This gateway's name.
     */
    RelayedReports(String self) {
        this.self = self;
    }

    /**
     * Takes in a report that came from its gateway.
     *
     * @param report The report.
     */
    void take(GatewayReport report) {
        gathered.add(report);
    }

    /**
     * Takes in a batch of another failure domain. One that was passed on already is dropped: two
     * relays of one failure domain would send it to each other for ever.
     *
     * @param batch The batch.
     */
    void take(ReportBatch batch) {
        if (!batch.passedOn() && foreign.size() < MAX_BATCHES) {
            foreign.add(batch.withPassedOn());
        }
    }

    /**
     * Makes a batch of what was gathered.
     *
     * @param own This gateway's own report.
     * @return The batch.
     */
    ReportBatch batchWith(GatewayReport own) {
        gathered.add(own);
        return ReportBatches.of(self, gathered);
    }

    /**
     * Returns the batches of other failure domains.
     *
     * @return The batches, marked as passed on.
     */
    List<ReportBatch> foreign() {
        return List.copyOf(foreign);
    }

    /** Forgets all, because it was passed on or need not be. */
    void clear() {
        gathered.clear();
        foreign.clear();
    }
}
