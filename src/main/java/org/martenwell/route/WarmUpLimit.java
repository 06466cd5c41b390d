package org.martenwell.route;

/**
 * Limit on the requests to a target that has just started. Above it the target may crash.
 *
 * @param requestsPerSecond The requests per second that all gateways together may send, 0 for no
 *     limit.
 * @param durationMillis The duration of a warm-up, in milliseconds.
 */
public record WarmUpLimit(double requestsPerSecond, long durationMillis) {

    /** No limit. */
    public static final WarmUpLimit NONE = new WarmUpLimit(0, 0);

    /** {@return {@code true} if there is a limit} */
    public boolean limited() {
        return requestsPerSecond > 0;
    }
}
