package org.martenwell.router;

import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/**
 * Decides whether a router takes requests: it has a configuration, it is not stopping, and it is
 * not cut off from both the platform and most of its peers, as its configuration might then be old.
 */
public final class Readiness {

    /** After how long cut off a router takes no more requests, in milliseconds. */
    static final long ISOLATION_MILLIS = 10_000;

    /** When the router started; it is not cut off before it had time to hear of others. */
    private final long startedAt;

    /** When the router last had contact with the platform or with most of its peers. */
    private long contactAt;

    /** {@code true} once the router is stopping and the balancer had time to notice. */
    private boolean closed;

    /** {@code true} once the router is stopping. */
    private boolean draining;

    /**
     * Creates the readiness of a router that just started.
     *
     * @param now The time.
     */
    public Readiness(long now) {
        startedAt = now;
        contactAt = now;
    }

    /**
     * Takes in the present contacts.
     *
     * @param platformAnsweredAt When the platform last answered.
     * @param listed How many other routers the platform listed.
     * @param heard How many of them are members now.
     * @param now The time.
     */
    public void contacts(long platformAnsweredAt, int listed, int heard, long now) {
        contactAt = Math.max(contactAt, platformAnsweredAt);
        if (heard > 0 && heard * 2 >= listed) {
            contactAt = now;
        }
    }

    /** Notes that the router is stopping: it is not ready but still takes requests. */
    public void drain() {
        draining = true;
    }

    /** Notes that the router takes no more requests. */
    public void close() {
        closed = true;
    }

    /**
     * Returns whether the balancer should send requests here.
     *
     * @param configured {@code true} if a configuration is in force.
     * @param now The time.
     * @return {@code true} if it should.
     */
    public boolean ready(boolean configured, long now) {
        return configured && !draining && !isolated(now);
    }

    /**
     * Throws an exception if a request has to be refused.
     *
     * @param configured {@code true} if a configuration is in force.
     * @param now The time.
     */
    public void requireOpen(boolean configured, long now) {
        if (closed) {
            throw MartenwellException.of(ErrorKind.DRAINING, "The router is stopping.")
                    .withRetryAfter(1_000);
        }
        if (!configured) {
            throw MartenwellException.of(ErrorKind.NOT_READY, "No configuration is in force yet.")
                    .withRetryAfter(1_000);
        }
        if (isolated(now)) {
            throw MartenwellException.of(
                            ErrorKind.NOT_READY,
                            "The router is cut off from the platform and its peers.")
                    .withRetryAfter(1_000);
        }
    }

    /**
     * Returns whether the router is cut off.
     *
     * @param now The time.
     * @return {@code true} if it is.
     */
    private boolean isolated(long now) {
        return now - Math.max(startedAt, contactAt) > ISOLATION_MILLIS;
    }
}
