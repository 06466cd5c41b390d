package org.martenwell.exchange;

import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import org.martenwell.service.Listening;
import org.martenwell.service.ManagedService;

/** Takes callers' connections. */
public final class CallerServer implements ManagedService {

    /** How long a connection must have rested to be closed in a stop, in milliseconds. */
    private static final long LEAST_REST_MILLIS = 300;

    /** How often the time limits of connections are checked, in milliseconds. */
    private static final long CHECK_MILLIS = 200;

    /** The loop. */
    private final NioReactor reactor;

    /** Serves requests. */
    private final RequestHandler handler;

    /** The server. */
    private final SimpleServer server;

    /** The open connections. */
    private final Set<CallerConnection> connections = new HashSet<>();

    /** The limits in force. */
    private ConnectionLimits limits = ConnectionLimits.DEFAULTS;

    /** Whether connections end behind the request that is served. */
    private boolean draining;

    /** Whether the server was stopped. */
    private boolean stopped;

    /**
     * Creates a server that does not listen yet.
     *
     * @param reactor The loop.
     * @param address Where to listen.
     * @param handler Serves requests.
     */
    public CallerServer(NioReactor reactor, InetSocketAddress address, RequestHandler handler) {
        this.reactor = reactor;
        this.handler = handler;
        this.server =
                SimpleServer.builder(reactor, this::accepted).withListenAddress(address).build();
    }

    @Override
    public Promise<Void> start() {
        reactor.delayBackground(CHECK_MILLIS, this::expire);
        return Listening.start(server);
    }

    @Override
    public Promise<Void> stop() {
        stopped = true;
        Set.copyOf(connections).forEach(CallerConnection::abort);
        return server.close().toVoid();
    }

    /**
     * Changes the limits.
     *
     * @param changed The limits; the largest head counts for new connections.
     */
    public void limit(ConnectionLimits changed) {
        limits = changed;
    }

    /** Lets each connection end behind the request that is served on it. */
    public void drain() {
        draining = true;
    }

    /** Closes the connections that have rested; one that was just opened may bring its request. */
    public void closeIdle() {
        long before = reactor.currentTimeMillis() - LEAST_REST_MILLIS;
        Set.copyOf(connections).stream()
                .filter(each -> each.idleSince(before))
                .forEach(CallerConnection::abort);
    }

    /**
     * Returns how many connections are open.
     *
     * @return The number of connections.
     */
    public int connections() {
        return connections.size();
    }

    /**
     * Returns the limits in force.
     *
     * @return The limits.
     */
    ConnectionLimits limits() {
        return limits;
    }

    /**
     * Returns whether connections end behind the request that is served.
     *
     * @return {@code true} if so.
     */
    boolean draining() {
        return draining;
    }

    /**
     * Serves a request.
     *
     * @param exchange The request.
     */
    void handle(CallerExchange exchange) {
        handler.handle(exchange);
    }

    /**
     * Forgets a connection.
     *
     * @param connection The connection.
     */
    void closed(CallerConnection connection) {
        connections.remove(connection);
    }

    /**
     * Takes a connection.
     *
     * @param socket The socket.
     */
    private void accepted(ITcpSocket socket) {
        CallerConnection connection = new CallerConnection(reactor, socket, this);
        connections.add(connection);
        connection.start();
    }

    /** Closes connections that exceed their time. */
    private void expire() {
        if (stopped) {
            return;
        }
        long now = reactor.currentTimeMillis();
        Set.copyOf(connections).forEach(each -> each.expire(now));
        reactor.delayBackground(CHECK_MILLIS, this::expire);
    }
}
