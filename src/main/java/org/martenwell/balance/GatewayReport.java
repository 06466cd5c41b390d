package org.martenwell.balance;

import java.util.List;
import org.martenwell.message.PeerMessage;
import org.martenwell.quarantine.QuarantineUpdate;
import org.martenwell.share.ShareCounts;

/**
 * The periodic report of a gateway to its peers. Loads and shares are complete in each report that
 * has them, so a lost report is made up for by the next one; cached parts are listed once, as
 * changes.
 *
 * @param gateway The gateway's name.
 * @param incarnation A number that differs after each start of the gateway.
 * @param configurationVersion The configuration version that the gateway applies.
 * @param loads Its load on each target; targets without any of its requests are left out.
 * @param shares Its share counts; {@link ShareCounts#NONE} if this report has none.
 * @param cacheUpdates The changes of targets' prompt caches since its last report.
 * @param drainingTargets The incarnations of targets known to be draining.
 * @param quarantine The recent updates on quarantined requests; all of them in the first report on
 *     a connection.
 */
public record GatewayReport(
        String gateway,
        long incarnation,
        long configurationVersion,
        List<TargetLoadReport> loads,
        ShareCounts shares,
        List<CachedPartUpdate> cacheUpdates,
        List<String> drainingTargets,
        List<QuarantineUpdate> quarantine)
        implements PeerMessage {

    /**
     * Replaces the updates.
     *
     * @param changedParts The changes of targets' prompt caches.
     * @param changedQuarantine The updates on quarantined requests.
     * @return A report with these updates.
     */
    public GatewayReport withUpdates(
            List<CachedPartUpdate> changedParts, List<QuarantineUpdate> changedQuarantine) {
        return new GatewayReport(
                gateway,
                incarnation,
                configurationVersion,
                loads,
                shares,
                changedParts,
                drainingTargets,
                changedQuarantine);
    }
}
