package org.martenwell.schedule;

import java.util.List;
import org.martenwell.message.PeerMessage;

/**
 * Service counters of one router, sent to its peers. Counters never decrease, so lost, late and
 * repeated reports are harmless.
 *
 * @param router The router's name.
 * @param incarnation The router's incarnation, which increases with each restart.
 * @param sequence The report's sequence number within the incarnation.
 * @param liftLevel The weighted service to which organisations returning from idle are raised, in
 *     units; never decreases.
 * @param entries The counters of the organisations that changed.
 */
public record ServiceReport(
        String router,
        long incarnation,
        long sequence,
        double liftLevel,
        List<ServiceEntry> entries)
        implements PeerMessage {}
