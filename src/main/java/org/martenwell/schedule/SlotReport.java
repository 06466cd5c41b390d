package org.martenwell.schedule;

import java.util.List;
import org.martenwell.message.PeerMessage;

/**
 * What a router tells a keeper.
 *
 * @param router The router's name.
 * @param incarnation The router's incarnation.
 * @param keeperIncarnation The incarnation of the keeper that the totals belong to.
 * @param sequence The report's number within the incarnation; a keeper ignores earlier ones.
 * @param complete {@code true} if queues and slots that are not listed are empty.
 * @param demands The queues that changed.
 * @param holdings The slots that changed.
 * @param failures The targets whose totals of failed requests changed.
 */
public record SlotReport(
        String router,
        long incarnation,
        long keeperIncarnation,
        long sequence,
        boolean complete,
        List<Demand> demands,
        List<Holding> holdings,
        List<FailureCount> failures)
        implements PeerMessage {}
