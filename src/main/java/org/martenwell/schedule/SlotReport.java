package org.martenwell.schedule;

import java.util.List;
import org.martenwell.message.PeerMessage;

/**
 * Message from a router to a coordinator with the state of queues and slots.
 *
 * @param router The router's name.
 * @param incarnation The router's incarnation.
 * @param coordinatorIncarnation The incarnation of the coordinator that the slot totals belong to.
 * @param sequence The sequence number within the router's incarnation; outdated reports are
 *     ignored.
 * @param complete {@code true} if queues and slots that are not listed are empty.
 * @param demands The queues that changed.
 * @param holdings The slots that changed.
 * @param failures The failure counts that changed.
 */
public record SlotReport(
        String router,
        long incarnation,
        long coordinatorIncarnation,
        long sequence,
        boolean complete,
        List<Demand> demands,
        List<Holding> holdings,
        List<FailureCount> failures)
        implements PeerMessage {}
