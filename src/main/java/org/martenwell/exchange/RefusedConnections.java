package org.martenwell.exchange;

import io.activej.reactor.nio.NioReactor;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Connections beyond the limit, which are open only for their callers to read refusals. There are
 * few of them, so that descriptors remain for other purposes. A caller that still sends its request
 * is spared for longer, since a close would destroy its refusal by a reset.
 */
final class RefusedConnections {

    private static final long PERCENT = 100;

    /** The most connections, as a percentage of the most connections of the server. */
    private static final long MAX_PERCENT = 5;

    /** The same while callers send. */
    private static final long MAX_SENDING_PERCENT = 10;

    /** The most connections while callers send to a server with few connections. */
    private static final long MIN_MAX_SENDING = 8;

    /** The interval at which callers are checked that still sent before, in milliseconds. */
    private static final long CHECK_MILLIS = 50;

    private final NioReactor reactor;

    /** The connections, the oldest first. */
    private final Set<CallerConnection> connections = new LinkedHashSet<>();

    private int maxConnections = Integer.MAX_VALUE;

    private boolean trimScheduled;

    /**
     * Creates a set without connections.
     *
     * @param reactor The event loop.
     */
    RefusedConnections(NioReactor reactor) {
        this.reactor = reactor;
    }

    /**
     * Sets the limit that the connections are beyond.
     *
     * @param count The most connections of the server.
     */
    void limit(int count) {
        maxConnections = count;
    }

    /**
     * Adds a connection before its request is refused, and closes others to make room.
     *
     * @param connection The connection.
     */
    void add(CallerConnection connection) {
        trim(most() - 1, CallerConnection::callerSilent);
        trim(mostSending() - 1, each -> true);
        connections.add(connection);
        scheduleTrim();
    }

    /**
     * Removes a connection that has closed.
     *
     * @param connection The connection.
     */
    void remove(CallerConnection connection) {
        connections.remove(connection);
    }

    /** {@return {@code true} if there are none} */
    boolean isEmpty() {
        return connections.isEmpty();
    }

    /**
     * Closes all connections.
     *
     * @param reason The reason.
     */
    void abortAll(CloseReason reason) {
        List.copyOf(connections).forEach(each -> each.abort(reason));
    }

    private void scheduleTrim() {
        if (connections.size() > most() && !trimScheduled) {
            trimScheduled = true;
            reactor.delayBackground(CHECK_MILLIS, this::trimSilent);
        }
    }

    private void trimSilent() {
        trimScheduled = false;
        trim(most(), CallerConnection::callerSilent);
        scheduleTrim();
    }

    /** Closes connections that may be closed, the oldest first, until only some are left. */
    private void trim(long count, Predicate<CallerConnection> closable) {
        for (CallerConnection each : List.copyOf(connections)) {
            if (connections.size() <= count) {
                break;
            }
            if (closable.test(each)) {
                each.abort(CloseReason.CONNECTION_LIMIT);
            }
        }
    }

    private long most() {
        return Math.max(1, maxConnections * MAX_PERCENT / PERCENT);
    }

    private long mostSending() {
        return Math.max(MIN_MAX_SENDING, maxConnections * MAX_SENDING_PERCENT / PERCENT);
    }
}
