package org.martenwell.router;

import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/**
 * Decides whether a router accepts requests. It accepts none without a configuration, once it is
 * closed, or while it has contact neither with the platform nor with at least half of its peers, as
 * its configuration may then be outdated.
 */
public final class Readiness {

    /** Time without contact after which a router counts as isolated, in milliseconds. */
    static final long ISOLATION_MILLIS = 10_000;

    /** Start time; a router is not isolated before it had time to make contact. */
    private final long startedAt;

    /** Time of the last contact with the platform or at least half of the peers. */
    private long lastContactAt;

    /** Set once load balancers had time to stop sending requests to a draining router. */
    private boolean closed;

    private boolean draining;

    /**
     * Creates the readiness of a router that has just started.
     *
     * @param now The current time in milliseconds.
     */
    public Readiness(long now) {
        startedAt = now;
        lastContactAt = now;
    }

    /**
     * Updates the time of the last contact.
     *
     * @param platformContactAt The time of the last successful call to the platform.
     * @param listed The number of other routers in the platform's box list.
     * @param reachable The number of these that are members now.
     * @param now The current time in milliseconds.
     */
    public void updateContact(long platformContactAt, int listed, int reachable, long now) {
        lastContactAt = Math.max(lastContactAt, platformContactAt);
        if (reachable > 0 && reachable * 2 >= listed) {
            lastContactAt = now;
        }
    }

    /** Makes the router not ready. It still accepts requests until {@link #close()}. */
    public void drain() {
        draining = true;
    }

    /** Rejects all further requests. */
    public void close() {
        closed = true;
    }

    /**
     * Returns {@code true} if load balancers should send requests to this router.
     *
     * @param configured {@code true} if a configuration is active.
     * @param now The current time in milliseconds.
     * @return {@code true} if the router is ready.
     */
    public boolean ready(boolean configured, long now) {
        return configured && !draining && !isIsolated(now);
    }

    /**
     * Throws a {@link MartenwellException} if the router accepts no requests.
     *
     * @param configured {@code true} if a configuration is active.
     * @param now The current time in milliseconds.
     */
    public void requireAcceptingRequests(boolean configured, long now) {
        if (closed) {
            throw stopping();
        }
        if (!configured) {
            throw MartenwellException.of(ErrorKind.NOT_READY, "No configuration is active yet.")
                    .withRetryAfter(1_000);
        }
        if (isIsolated(now)) {
            throw MartenwellException.of(
                            ErrorKind.NOT_READY,
                            "The router has lost contact with the platform and its peers.")
                    .withRetryAfter(1_000);
        }
    }

    /** {@return the refusal of a router that stops} */
    static MartenwellException stopping() {
        return MartenwellException.of(ErrorKind.DRAINING, "The router is stopping.")
                .withRetryAfter(1_000);
    }

    private boolean isIsolated(long now) {
        return now - Math.max(startedAt, lastContactAt) > ISOLATION_MILLIS;
    }
}
