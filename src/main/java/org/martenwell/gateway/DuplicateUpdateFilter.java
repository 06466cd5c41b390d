package org.martenwell.gateway;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.martenwell.balance.CachedPartUpdate;
import org.martenwell.balance.GatewayReport;
import org.martenwell.quarantine.QuarantineUpdate;

/**
 * Removes updates from the reports that a relay forwards if it received the same ones shortly
 * before. A gateway sends all that it knows to a relay that it connects to, and gateways know
 * nearly the same. Without the filter, a relay to which n gateways reconnect forwards n copies to n
 * gateways, which exceeds its heap in a large fleet.
 */
final class DuplicateUpdateFilter {

    /**
     * The time for which an update counts as a duplicate, in milliseconds. It is shorter than the
     * interval at which gateways repeat updates in case that a report is lost.
     */
    private static final long WINDOW_MILLIS = 400;

    /** The most updates of a kind that are remembered. */
    private static final int MAX_UPDATES = 16_384;

    /** The recent updates of cached parts by part, the oldest first. */
    private final Map<Part, Update<Long>> parts = new LinkedHashMap<>();

    /** The recent updates on quarantined requests, the oldest first. */
    private final Map<QuarantineUpdate, Update<Boolean>> quarantine = new LinkedHashMap<>();

    /**
     * A prompt part at a target.
     *
     * @param target The target's incarnation.
     * @param key The key of the part.
     */
    private record Part(String target, long key) {}

    /**
     * The last update on a subject.
     *
     * @param value What the update states.
     * @param millis The time at which it was received, in milliseconds.
     * @param <T> The type of what is stated.
     */
    private record Update<T>(T value, long millis) {}

    /** Creates a filter that has received no updates. */
    DuplicateUpdateFilter() {}

    /**
     * Removes duplicates from a report, and remembers its other updates.
     *
     * @param report The report.
     * @param now The current time, in milliseconds.
     * @return The report with the updates that are not duplicates.
     */
    GatewayReport filter(GatewayReport report, long now) {
        if (report.cacheUpdates().isEmpty() && report.quarantine().isEmpty()) {
            return report;
        }
        List<CachedPartUpdate> newParts = new ArrayList<>();
        for (CachedPartUpdate each : report.cacheUpdates()) {
            if (isNew(parts, new Part(each.target(), each.key()), each.tokens(), now)) {
                newParts.add(each);
            }
        }
        List<QuarantineUpdate> newQuarantine = new ArrayList<>();
        for (QuarantineUpdate each : report.quarantine()) {
            if (isNew(quarantine, each, true, now)) {
                newQuarantine.add(each);
            }
        }
        return report.withUpdates(newParts, newQuarantine);
    }

    private static <K, T> boolean isNew(Map<K, Update<T>> recent, K subject, T value, long now) {
        Update<T> last = recent.get(subject);
        if (last != null && last.value().equals(value) && now - last.millis() < WINDOW_MILLIS) {
            return false;
        }
        recent.remove(subject);
        recent.put(subject, new Update<>(value, now));
        removeOldest(recent, now);
        return true;
    }

    private static <K, T> void removeOldest(Map<K, Update<T>> recent, long now) {
        Iterator<Update<T>> oldest = recent.values().iterator();
        while (oldest.hasNext()) {
            boolean expired = now - oldest.next().millis() >= WINDOW_MILLIS;
            if (!expired && recent.size() <= MAX_UPDATES) {
                return;
            }
            oldest.remove();
        }
    }
}
