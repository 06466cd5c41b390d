package org.martenwell.admission;

import java.util.ArrayList;
import java.util.List;

/**
 * Searches for an engine that found none with capacity. A request that needs no less is not
 * searched for, since a search looks at all engines and a small box has many requests waiting.
 */
final class FailedSearches {

    /**
     * The most searches without result in a pass over the queue. Requests that need less than all
     * that failed are searched for, so a pass with many sizes could else cost as much as if each
     * request were searched for.
     */
    private static final int MAX_FAILED = 8;

    /**
     * The factor by which the allowed backlog has to exceed that of a failed search. Engines whose
     * backlog lies between the two are rare, and requests differ in it by each millisecond of their
     * arrival.
     */
    private static final double MIN_BACKLOG_FACTOR = 1.6;

    private final List<SearchNeed> failed = new ArrayList<>();

    /** The searches without result, also those that looked at a part of the engines. */
    private int count;

    /** Creates the state without searches. */
    FailedSearches() {}

    /** Forgets all searches, because places may have become free. */
    void clear() {
        failed.clear();
        count = 0;
    }

    /**
     * Records a search without result.
     *
     * @param need What the request needs.
     * @param complete {@code true} if all engines of the service were looked at.
     */
    void add(SearchNeed need, boolean complete) {
        count++;
        if (complete) {
            failed.add(need);
        }
    }

    /**
     * Returns whether a search would most likely find no engine, or the pass has done enough.
     *
     * @param need What the request needs.
     * @return {@code true} if the request is not to be searched for.
     */
    boolean cover(SearchNeed need) {
        if (count >= MAX_FAILED) {
            return true;
        }
        for (SearchNeed each : failed) {
            if (covers(each, need)) {
                return true;
            }
        }
        return false;
    }

    private static boolean covers(SearchNeed failure, SearchNeed need) {
        return need.fillFraction() <= failure.fillFraction()
                && need.memoryTokens() >= failure.memoryTokens()
                && need.backlogMillis() <= MIN_BACKLOG_FACTOR * failure.backlogMillis();
    }
}
