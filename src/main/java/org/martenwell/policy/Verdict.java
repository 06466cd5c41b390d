package org.martenwell.policy;

import java.util.Optional;

/**
 * What a policy decided about a request.
 *
 * @param priority The priority if admitted, from 0, the least urgent, to 9.
 * @param refusal The reason if refused.
 */
public record Verdict(int priority, Optional<String> refusal) {

    /** The greatest priority. */
    public static final int MAX_PRIORITY = 9;

    /**
     * Returns a verdict that admits a request.
     *
     * @param priority The wanted priority, brought into the allowed range.
     * @return The verdict.
     */
    public static Verdict allow(long priority) {
        return new Verdict((int) Math.max(0, Math.min(MAX_PRIORITY, priority)), Optional.empty());
    }

    /**
     * Returns a verdict that refuses a request.
     *
     * @param reason The reason told to the caller.
     * @return The verdict.
     */
    public static Verdict refuse(String reason) {
        return new Verdict(0, Optional.of(reason));
    }
}
