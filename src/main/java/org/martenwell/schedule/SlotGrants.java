package org.martenwell.schedule;

import java.util.List;
import org.martenwell.message.PeerMessage;

/**
 * What a keeper tells a router.
 *
 * @param keeper The keeper's name.
 * @param incarnation The keeper's incarnation.
 * @param routerIncarnation The incarnation of the router that the totals belong to.
 * @param completeWanted {@code true} if the router is to report everything.
 * @param grants The totals that changed.
 */
public record SlotGrants(
        String keeper,
        long incarnation,
        long routerIncarnation,
        boolean completeWanted,
        List<SlotGrant> grants)
        implements PeerMessage {}
