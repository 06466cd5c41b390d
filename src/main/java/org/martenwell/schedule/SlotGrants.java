package org.martenwell.schedule;

import java.util.List;
import org.martenwell.message.PeerMessage;

/**
 * Message from a coordinator to a router with the grants that changed.
 *
 * @param coordinator The coordinator's name.
 * @param incarnation The coordinator's incarnation.
 * @param routerIncarnation The incarnation of the router that the totals belong to, or 0 if it is
 *     unknown.
 * @param completeReportRequested {@code true} if the router has to send a complete report.
 * @param grants The totals that changed.
 */
public record SlotGrants(
        String coordinator,
        long incarnation,
        long routerIncarnation,
        boolean completeReportRequested,
        List<SlotGrant> grants)
        implements PeerMessage {}
