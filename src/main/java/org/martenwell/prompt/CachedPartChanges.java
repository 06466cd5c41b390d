package org.martenwell.prompt;

import java.util.List;

/**
 * Changes of a target's prompt cache since an earlier request for its changes.
 *
 * @param next The position in the target's list of changes to continue from.
 * @param lost {@code true} if the target has discarded earlier changes that were not reported.
 * @param parts The changed parts; a part with 0 tokens has been evicted.
 */
public record CachedPartChanges(long next, boolean lost, List<CachedPart> parts) {}
