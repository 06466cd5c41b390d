package org.martenwell.member;

import java.util.List;

/**
 * Result of a check for late heartbeats.
 *
 * @param removed The names of the members removed.
 * @param suspected {@code true} if a member became suspected.
 */
public record MembershipChange(List<String> removed, boolean suspected) {

    /** {@return {@code true} if a member was removed or became suspected} */
    public boolean hasChanges() {
        return suspected || !removed.isEmpty();
    }
}
