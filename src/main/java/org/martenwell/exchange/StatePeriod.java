package org.martenwell.exchange;

import io.activej.reactor.nio.NioReactor;

/** The current state of a caller's connection, the time spent in it and the limits that apply. */
final class StatePeriod {

    /**
     * The time for which an idle connection is kept beyond its idle timeout. Callers measure it
     * from the end of a response that reaches them later, and their requests take time to arrive.
     */
    private static final long IDLE_MARGIN_MILLIS = 1_000;

    private static final long NOT_RESTING = Long.MAX_VALUE;

    private final NioReactor reactor;

    private final CallerServer server;

    private ConnectionState state = ConnectionState.IDLE;

    /**
     * The arrival of the current request's first byte or, while idle, the end of the last request.
     */
    private long sinceMillis;

    /** The same on the clock that leaves out the delays of the event loop. */
    private long responsiveSinceMillis;

    /** The last time at which the socket accepted bytes, on the same clock. */
    private long writtenMillis;

    /**
     * The time of the first check of timeouts after the pass of the event loop in which the
     * connection became idle, or {@link #NOT_RESTING}. The loop's time within a pass is that of its
     * start, which may be long before the last response was sent.
     */
    private long restingSinceMillis = NOT_RESTING;

    /**
     * The limits on the current state. Limits that change apply to the next state, since a caller
     * may rely on those that were in force when this one began.
     */
    private ConnectionLimits limits;

    /**
     * Creates the period of a connection that becomes idle now.
     *
     * @param reactor The event loop.
     * @param server The server, whose clock and limits apply.
     */
    StatePeriod(NioReactor reactor, CallerServer server) {
        this.reactor = reactor;
        this.server = server;
        enter(ConnectionState.IDLE);
    }

    /**
     * Starts a period with the current limits.
     *
     * @param next The state.
     */
    void enter(ConnectionState next) {
        state = next;
        sinceMillis = reactor.currentTimeMillis();
        restingSinceMillis = NOT_RESTING;
        responsiveSinceMillis = server.clock().millis();
        writtenMillis = responsiveSinceMillis;
        limits = server.limits();
    }

    /**
     * Changes the state within the period.
     *
     * @param next The state.
     */
    void continueAs(ConnectionState next) {
        state = next;
    }

    /** {@return the state} */
    ConnectionState state() {
        return state;
    }

    /**
     * Compares the state.
     *
     * @param other The state to compare with.
     * @return {@code true} if it is the current one.
     */
    boolean is(ConnectionState other) {
        return state == other;
    }

    /** {@return the start of the period on the event loop's clock, in milliseconds} */
    long sinceMillis() {
        return sinceMillis;
    }

    /** {@return the limits on the state} */
    ConnectionLimits limits() {
        return limits;
    }

    /**
     * Replaces the limits where the new ones allow more.
     *
     * @param changed The new limits.
     */
    void extendLimits(ConnectionLimits changed) {
        limits = limits.extendedBy(changed);
    }

    /** {@return the time since the start of the period, in milliseconds} */
    long ageMillis() {
        return reactor.currentTimeMillis() - sinceMillis;
    }

    /** {@return the delays of the event loop in this time, in milliseconds} */
    long lateMillis() {
        return ageMillis() - (server.clock().millis() - responsiveSinceMillis);
    }

    /** Records that the socket accepted bytes. */
    void written() {
        writtenMillis = server.clock().millis();
    }

    /** {@return the time since the socket accepted bytes, in milliseconds} */
    long unwrittenMillis() {
        return server.clock().millis() - writtenMillis;
    }

    /**
     * Checks for a minimum idle time, from the first check of timeouts on.
     *
     * @param millis The time on the event loop's clock, in milliseconds.
     * @return {@code true} if the connection has been idle since this time or longer.
     */
    boolean idleSince(long millis) {
        return state == ConnectionState.IDLE && restingSinceMillis <= millis;
    }

    /**
     * Checks an idle connection for its timeout.
     *
     * @param nowMillis The current time on the event loop's clock, in milliseconds.
     * @return {@code true} if the connection has been idle for too long.
     */
    boolean idleTimedOut(long nowMillis) {
        if (restingSinceMillis == NOT_RESTING && nowMillis > sinceMillis) {
            restingSinceMillis = nowMillis;
        }
        return idleSince(nowMillis - limits.idleTimeoutMillis() - IDLE_MARGIN_MILLIS - 1);
    }

    /** {@return {@code true} if a request has been arriving for too long} */
    boolean requestTimedOut() {
        return state == ConnectionState.RECEIVING
                && server.clock().millis() - responsiveSinceMillis > limits.headerTimeoutMillis();
    }

    /**
     * Checks for the timeout of a response.
     *
     * @param unreadMillis The time for which the caller has not read it, in milliseconds.
     * @return {@code true} if that is too long.
     */
    boolean responseTimedOut(long unreadMillis) {
        return unreadMillis > limits.idleTimeoutMillis() + IDLE_MARGIN_MILLIS;
    }
}
