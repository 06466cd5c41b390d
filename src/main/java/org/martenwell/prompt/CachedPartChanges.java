package org.martenwell.prompt;

import java.util.List;

/**
 * Changes of a target's prompt cache since an earlier request for its changes.
 *
 * @param epoch The epoch of the positions, which start again in each one.
 * @param next The position in the target's list of changes to continue from.
 * @param lost {@code true} if the target has discarded earlier changes that were not reported.
 * @param parts The changed parts; a part with 0 tokens has been evicted.
 */
public record CachedPartChanges(String epoch, long next, boolean lost, List<CachedPart> parts) {

    /**
     * Returns whether these changes can't be those behind a position, which means that the target
     * sent them in response to an earlier request.
     *
     * @param position The position.
     * @param positionEpoch The epoch of the position, empty before the first response.
     * @return {@code true} if the target had reported them before the position was known.
     */
    public boolean outdated(long position, String positionEpoch) {
        boolean behind = next > position || (next == position && parts.isEmpty());
        return positionEpoch.equals(epoch) && !behind;
    }
}
