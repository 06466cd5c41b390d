package org.martenwell.share;

import java.util.Map;

/**
 * The demand and use of all organisations at one gateway in the last window.
 *
 * @param countedMillis The time that the sums cover, in milliseconds: at most a window, less after
 *     a start or after a window without requests.
 * @param sums The sums by organisation; organisations without requests are left out.
 */
public record ShareCounts(long countedMillis, Map<String, ShareSums> sums) {

    /** Counts without any request. */
    public static final ShareCounts NONE = new ShareCounts(0, Map.of());

    /**
     * Copies the sums, so that the counts are immutable.
     *
     * @param countedMillis The time that the sums cover, in milliseconds.
     * @param sums The sums by organisation.
     */
    public ShareCounts {
        sums = Map.copyOf(sums);
    }

    /** {@return {@code true} if no organisation has requests in the window} */
    public boolean isEmpty() {
        return sums.isEmpty();
    }
}
