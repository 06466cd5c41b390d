package org.martenwell.member;

import java.util.List;

/**
 * What late heartbeats changed.
 *
 * @param removed The members removed.
 * @param suspected {@code true} if a member is newly suspected.
 */
public record MembershipChange(List<String> removed, boolean suspected) {

    /**
     * Returns whether anything changed.
     *
     * @return {@code true} if so.
     */
    public boolean any() {
        return suspected || !removed.isEmpty();
    }
}
