package org.martenwell.policy;

import java.util.Optional;

/**
 * Decision of a policy about a request.
 *
 * @param priority The priority from 0 (lowest) to 9 (highest), 0 for refused requests.
 * @param refusal The reason for a refusal, empty if the request is accepted.
 */
public record Verdict(int priority, Optional<String> refusal) {

    /** The highest priority. */
    public static final int MAX_PRIORITY = 9;

    /**
     * Creates a decision that accepts a request. Bound to the CEL function {@code allow}.
     *
     * @param priority The priority, clamped to the range from 0 to {@link #MAX_PRIORITY}.
     * @return The decision.
     */
    public static Verdict allow(long priority) {
        return new Verdict((int) Math.max(0, Math.min(MAX_PRIORITY, priority)), Optional.empty());
    }

    /**
     * Creates a decision that refuses a request. Bound to the CEL function {@code refuse}.
     *
     * @param reason The reason sent to the caller.
     * @return The decision.
     */
    public static Verdict refuse(String reason) {
        return new Verdict(0, Optional.of(reason));
    }
}
