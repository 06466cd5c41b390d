package org.martenwell.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The counters that one incarnation of a peer reported. */
final class PeerCounters {

    /** The greatest service reported, by organisation. */
    private final Map<String, Double> served = new HashMap<>();

    /** The slots granted, by organisation. */
    private final Map<String, Integer> inUse = new HashMap<>();

    /** The number of the report that last set the slots granted, by organisation. */
    private final Map<String, Long> sequences = new HashMap<>();

    /** The greatest number of a report. */
    private long sequence;

    /** Creates empty counters. */
    PeerCounters() {}

    /**
     * Takes in one entry.
     *
     * @param entry The entry.
     * @param number The number of its report.
     * @param newest {@code true} if no later incarnation of the peer is known.
     * @return By how much the service grew.
     */
    double receive(ServiceEntry entry, long number, boolean newest) {
        String organisation = entry.organisation();
        sequence = Math.max(sequence, number);
        if (newest && number >= sequences.getOrDefault(organisation, 0L)) {
            sequences.put(organisation, number);
            inUse.put(organisation, entry.inUse());
        }
        double known = served.getOrDefault(organisation, 0.0);
        double merged = Math.max(known, entry.served());
        served.put(organisation, merged);
        return merged - known;
    }

    /**
     * Returns the slots granted to an organisation.
     *
     * @param organisation The organisation.
     * @return The number of slots.
     */
    int inUse(String organisation) {
        return inUse.getOrDefault(organisation, 0);
    }

    /** Forgets the slots granted. */
    void clearInUse() {
        inUse.clear();
    }

    /**
     * Returns the greatest number of a report.
     *
     * @return The number.
     */
    long sequence() {
        return sequence;
    }

    /**
     * Returns the counters as entries.
     *
     * @return The entries.
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
