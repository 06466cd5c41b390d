package org.martenwell.fairness;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** The tokens that a fleet of gateways counted, by second, organisation and gateway. */
public final class ServiceHistory {

    /** The counts by second, then by organisation. */
    private final TreeMap<Long, Map<String, TokenCounts>> seconds = new TreeMap<>();

    /** The entries as they were added. */
    private final List<Entry> entries = new ArrayList<>();

    /**
     * Counts of one organisation at one gateway in one second.
     *
     * @param second The second, since the epoch.
     * @param gateway The name of the gateway.
     * @param organisation The name of the organisation.
     * @param counts The counts.
     */
    public record Entry(long second, String gateway, String organisation, TokenCounts counts) {}

    /** Creates an empty history. */
    public ServiceHistory() {}

    /**
     * Adds an entry. Entries of the same second and organisation add up.
     *
     * @param entry The entry.
     */
    public void add(Entry entry) {
        entries.add(entry);
        seconds.computeIfAbsent(entry.second(), second -> new HashMap<>())
                .merge(entry.organisation(), entry.counts(), TokenCounts::plus);
    }

    /** {@return the first second, empty if there is no entry} */
    Optional<Long> firstSecond() {
        return seconds.isEmpty() ? Optional.empty() : Optional.of(seconds.firstKey());
    }

    /** {@return the last second, empty if there is no entry} */
    Optional<Long> lastSecond() {
        return seconds.isEmpty() ? Optional.empty() : Optional.of(seconds.lastKey());
    }

    /** {@return the names of all organisations, in order} */
    Set<String> organisations() {
        Set<String> names = new TreeSet<>();
        seconds.values().forEach(each -> names.addAll(each.keySet()));
        return names;
    }

    /**
     * Returns the counts of an organisation in a second.
     *
     * @param second The second.
     * @param organisation The name of the organisation.
     * @return The counts of all gateways together.
     */
    TokenCounts counts(long second, String organisation) {
        return seconds.getOrDefault(second, Map.of()).getOrDefault(organisation, TokenCounts.NONE);
    }

    /**
     * Returns the counts of an organisation over several seconds.
     *
     * @param from The first second.
     * @param length The number of seconds.
     * @param organisation The name of the organisation.
     * @return The counts of all gateways together.
     */
    TokenCounts sum(long from, int length, String organisation) {
        TokenCounts sum = TokenCounts.NONE;
        for (long second = from; second < from + length; second++) {
            sum = sum.plus(counts(second, organisation));
        }
        return sum;
    }

    /**
     * Returns the counts of an organisation over several seconds, by gateway.
     *
     * @param from The first second.
     * @param length The number of seconds.
     * @param organisation The name of the organisation.
     * @return The counts by the name of the gateway.
     */
    Map<String, TokenCounts> byGateway(long from, int length, String organisation) {
        Map<String, TokenCounts> found = new TreeMap<>();
        for (Entry each : entries) {
            if (each.organisation().equals(organisation)
                    && each.second() >= from
                    && each.second() < from + length) {
                found.merge(each.gateway(), each.counts(), TokenCounts::plus);
            }
        }
        return found;
    }
}
