package org.martenwell.gateway;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.martenwell.peer.TargetNotice;

/**
 * The notices that tell peers which targets the directory of this gateway no longer lists. A peer
 * that can't reach the store learns of a departed target in no other way if the target has not
 * announced that it drains.
 */
final class ListingNotices {

    /**
     * The time for which a departure is repeated to peers that connect, in milliseconds. Departed
     * targets may serve requests for many seconds.
     */
    private static final long MEMORY_MILLIS = 60_000;

    /** The most departures that are remembered. */
    private static final int MAX_DEPARTURES = 256;

    /** The times of the departures by incarnation, the oldest first, in milliseconds. */
    private final Map<String, Long> departures = new LinkedHashMap<>();

    /** The latest notice on each incarnation since the last call of {@link #takeNew}. */
    private final Map<String, TargetNotice> pending = new LinkedHashMap<>();

    /** Creates an instance without notices. */
    ListingNotices() {}

    /**
     * Records that the directory no longer lists a target.
     *
     * @param incarnation The target's incarnation.
     * @param now The current time, in milliseconds.
     */
    void unlisted(String incarnation, long now) {
        forget(now);
        departures.put(incarnation, now);
        pending.put(incarnation, new TargetNotice(incarnation, false));
    }

    /**
     * Records that the directory lists a target. Peers are notified only if it was unlisted before.
     *
     * @param incarnation The target's incarnation.
     */
    void listed(String incarnation) {
        if (departures.remove(incarnation) != null) {
            pending.put(incarnation, new TargetNotice(incarnation, true));
        }
    }

    /** {@return the notices since the last call, which are removed} */
    List<TargetNotice> takeNew() {
        List<TargetNotice> taken = List.copyOf(pending.values());
        pending.clear();
        return taken;
    }

    /**
     * Returns the notices for a peer that has just connected.
     *
     * @param now The current time, in milliseconds.
     * @return A notice for each target that departed recently.
     */
    List<TargetNotice> recent(long now) {
        forget(now);
        List<TargetNotice> recent = new ArrayList<>();
        departures.keySet().forEach(each -> recent.add(new TargetNotice(each, false)));
        return recent;
    }

    /**
     * Removes departures that are too old, and the oldest ones beyond the limit.
     *
     * @param now The current time, in milliseconds.
     */
    private void forget(long now) {
        departures.values().removeIf(each -> now - each > MEMORY_MILLIS);
        if (departures.size() >= MAX_DEPARTURES) {
            departures.remove(departures.keySet().iterator().next());
        }
    }
}
