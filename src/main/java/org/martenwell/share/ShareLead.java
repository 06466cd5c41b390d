package org.martenwell.share;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits how far organisations may get ahead of one that is held up, as by the limits of the box
 * that all of its callers come to. Nobody is limited to less than the share of the promised
 * capacity.
 */
final class ShareLead {

    /**
     * The fraction of its demand, or of what any other organisation gets, that each organisation
     * above its share is to get.
     */
    private static final double MIN_FRACTION = 0.6;

    /** The time for which an organisation is above its share before others are limited. */
    private static final long MIN_HELD_UP_MILLIS = 1_000;

    private final long windowMillis;

    /** The time since which organisations request more than their share, in milliseconds. */
    private Map<String, Long> aboveSinceMillis = Map.of();

    /** The largest use that an organisation may have, in tokens. */
    private double limit = Double.POSITIVE_INFINITY;

    /**
     * Creates a lead without any organisation.
     *
     * @param windowMillis The length of the window of the sums, in milliseconds.
     */
    ShareLead(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Recomputes the limit.
     *
     * @param fleet The sums of the whole fleet, by organisation.
     * @param level The share of the promised capacity, in tokens; infinite if it covers all
     *     demands.
     * @param now The current time, in milliseconds.
     */
    void update(Map<String, ShareSums> fleet, double level, long now) {
        Map<String, Long> above = new HashMap<>();
        double least = Double.POSITIVE_INFINITY;
        for (Map.Entry<String, ShareSums> each : fleet.entrySet()) {
            ShareSums sums = each.getValue();
            if (sums.requested() > level) {
                long since = aboveSinceMillis.getOrDefault(each.getKey(), now);
                above.put(each.getKey(), since);
                least = Math.min(least, limitBeside(sums, now - since));
            }
        }
        aboveSinceMillis = above;
        limit = Math.max(level, least);
    }

    /** Returns the limit on others beside an organisation that is above its share for a time. */
    private double limitBeside(ShareSums sums, long aboveMillis) {
        boolean heldUp = sums.sent() < MIN_FRACTION * sums.requested();
        if (!heldUp || aboveMillis < MIN_HELD_UP_MILLIS) {
            return Double.POSITIVE_INFINITY;
        }
        double counted = Math.min(1, (double) aboveMillis / windowMillis);
        return sums.sent() / counted / MIN_FRACTION;
    }

    /**
     * Returns whether an organisation would be too far ahead.
     *
     * @param used The use of the organisation with the request at hand, in tokens.
     * @return {@code true} if it would exceed the limit.
     */
    boolean exceeds(double used) {
        return used > limit;
    }
}
