package org.martenwell.schedule;

import java.util.List;
import org.martenwell.message.PeerMessage;

/**
 * A router's counters. Counters only grow, so lost, late and repeated reports do no harm.
 *
 * @param router The router's name.
 * @param incarnation The router's incarnation, greater after each restart.
 * @param sequence The report's number within the incarnation.
 * @param level The greatest weighted service that the router has seen as the least among the
 *     backlogged, never falling.
 * @param entries The organisations whose numbers changed.
 */
public record ServiceReport(
        String router, long incarnation, long sequence, double level, List<ServiceEntry> entries)
        implements PeerMessage {}
