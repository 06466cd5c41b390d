package org.martenwell.share;

import java.util.Map;

/**
 * What organisations asked and got at one gateway in the last window.
 *
 * @param countedMillis How long requests have been counted without a pause, in milliseconds, a
 *     window at the most. Less than a window behind a start or behind a time without requests.
 * @param sums The sums by organisation; those that neither asked nor got anything are left out.
 */
public record ShareCounts(long countedMillis, Map<String, ShareSums> sums) {

    /** Nothing counted. */
    public static final ShareCounts NONE = new ShareCounts(0, Map.of());

    /**
     * Creates counts that no longer change.
     *
     * @param countedMillis How long requests have been counted, in milliseconds.
     * @param sums The sums by organisation.
     */
    public ShareCounts {
        sums = Map.copyOf(sums);
    }

    /**
     * Returns whether nothing was asked and got.
     *
     * @return {@code true} if so.
     */
    public boolean isEmpty() {
        return sums.isEmpty();
    }
}
