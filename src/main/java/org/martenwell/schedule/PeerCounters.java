package org.martenwell.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Counters reported by one incarnation of a peer. */
final class PeerCounters {

    /** Highest reported service by organisation. */
    private final Map<String, Double> served = new HashMap<>();

    /** Granted slots by organisation. */
    private final Map<String, Integer> inUse = new HashMap<>();

    /** Sequence number of the report that last set the granted slots, by organisation. */
    private final Map<String, Long> inUseSequences = new HashMap<>();

    /** Highest sequence number of a report. */
    private long lastSequence;

    /** Creates counters of zero. */
    PeerCounters() {}

    /**
     * Merges one entry of a report.
     *
     * @param entry The entry.
     * @param sequenceNumber The sequence number of the report.
     * @param newest {@code true} if no later incarnation of the peer is known.
     * @return The increase of the organisation's service.
     */
    double receive(ServiceEntry entry, long sequenceNumber, boolean newest) {
        String organisation = entry.organisation();
        lastSequence = Math.max(lastSequence, sequenceNumber);
        if (newest && sequenceNumber >= inUseSequences.getOrDefault(organisation, 0L)) {
            inUseSequences.put(organisation, sequenceNumber);
            inUse.put(organisation, entry.inUse());
        }
        double previous = served.getOrDefault(organisation, 0.0);
        double merged = Math.max(previous, entry.served());
        served.put(organisation, merged);
        return merged - previous;
    }

    /**
     * Returns the number of slots granted to an organisation.
     *
     * @param organisation The organisation.
     * @return The number of slots.
     */
    int inUse(String organisation) {
        return inUse.getOrDefault(organisation, 0);
    }

    /** Clears all granted slots. */
    void clearInUse() {
        inUse.clear();
    }

    /** {@return the highest sequence number of a report} */
    long sequence() {
        return lastSequence;
    }

    /**
     * {@return the counters as entries of a report; the lift is 0, since it is not part of a peer's
     * own counters}
     */
    List<ServiceEntry> entries() {
        List<ServiceEntry> entries = new ArrayList<>();
        for (Map.Entry<String, Double> entry : served.entrySet()) {
            String organisation = entry.getKey();
            entries.add(new ServiceEntry(organisation, entry.getValue(), 0, inUse(organisation)));
        }
        return entries;
    }
}
