package org.martenwell.router;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Decides which targets accept requests, from the platform's box list, the notices of peers, the
 * polls of coordinated targets and the refusals that this router received.
 */
final class AcceptingTargets {

    /** Time for which no requests are sent to a target after it refused one. */
    private static final long REFUSAL_MILLIS = 2_000;

    /** Targets that the platform lists as draining. */
    private final Set<String> draining = new HashSet<>();

    /** Targets that accept no requests according to the last notice or poll. */
    private final Set<String> reportedUnavailable = new HashSet<>();

    /** Expiry times of refusals, by target. */
    private final Map<String, Long> refusedUntil = new HashMap<>();

    /** Creates a state in which all targets accept requests. */
    AcceptingTargets() {}

    /**
     * Replaces the targets listed as draining.
     *
     * @param names The names of the targets.
     */
    void setDraining(Set<String> names) {
        draining.clear();
        draining.addAll(names);
    }

    /**
     * Applies a notice of a peer or the result of a poll.
     *
     * @param target The target's name.
     * @param accepting {@code true} if the target accepts requests.
     */
    void applyNotice(String target, boolean accepting) {
        if (accepting) {
            reportedUnavailable.remove(target);
        } else {
            reportedUnavailable.add(target);
        }
    }

    /**
     * Records that a target refused a request.
     *
     * @param target The target's name.
     * @param now The current time in milliseconds.
     */
    void recordRefusal(String target, long now) {
        refusedUntil.put(target, now + REFUSAL_MILLIS);
    }

    /**
     * Returns whether a target accepts requests.
     *
     * @param target The target's name.
     * @param now The current time in milliseconds.
     * @return {@code true} if it is not listed as draining, not reported as unavailable and has not
     *     refused a request recently.
     */
    boolean acceptsRequests(String target, long now) {
        return !draining.contains(target)
                && !reportedUnavailable.contains(target)
                && now >= refusedUntil.getOrDefault(target, 0L);
    }
}
