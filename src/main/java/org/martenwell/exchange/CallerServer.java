package org.martenwell.exchange;

import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.martenwell.service.ManagedService;
import org.martenwell.service.PeriodicTask;
import org.martenwell.service.ResponseTimeout;
import org.martenwell.service.ResponsiveClock;
import org.martenwell.service.ServerStarter;

/**
 * The HTTP server for callers. It accepts connections, enforces their limits and passes complete
 * requests to a handler.
 */
public final class CallerServer implements ManagedService {

    /**
     * The minimum idle time after which {@link #closeIdle} closes a connection, in milliseconds.
     */
    private static final long MIN_IDLE_MILLIS = 300;

    private static final long PERCENT = 100;

    /**
     * The free percentage of the most connections below which callers are told to give up idle
     * connections early.
     */
    private static final long CROWDED_FREE_PERCENT = 30;

    private static final long MILLIS_PER_SECOND = 1_000;

    /** The interval between timeout checks of all connections, in milliseconds. */
    private static final long TIMEOUT_CHECK_MILLIS = 200;

    /**
     * The longest time for which a stop waits for callers that read their refusals, in
     * milliseconds.
     */
    private static final long STOP_MILLIS = 200;

    /**
     * The time without a byte read of a complete response after which its connection is closed
     * while there is no memory, in milliseconds.
     */
    private static final long STALLED_MILLIS = 1_000;

    private final NioReactor reactor;

    private final RequestHandler handler;

    /** The codecs that no connection uses. */
    private final CallerCodecs codecs = new CallerCodecs();

    private final SimpleServer server;

    private final ResponsiveClock clock;

    /** Whether the clock is started and stopped with the server. */
    private final boolean ownsClock;

    private final PeriodicTask timeoutChecks;

    /** The accepted connections that are not read yet. */
    private final AcceptQueue acceptQueue;

    private final Set<CallerConnection> connections = new HashSet<>();

    /** The connections beyond the limit whose requests were refused. */
    private final RefusedConnections refusedConnections;

    /** Completed when no connection is left after a stop. */
    private final SettablePromise<Void> allClosed = new SettablePromise<>();

    private boolean stopping;

    /** The connections without a request, the one that has been idle for longest first. */
    private final Set<CallerConnection> idleConnections = new LinkedHashSet<>();

    /** The connections whose caller may not have read its refusal yet, the oldest first. */
    private final Set<CallerConnection> dispensableConnections = new LinkedHashSet<>();

    private CallerMemory memory = CallerMemory.ofHeap();

    /** The most connections that are open at a time. */
    private int maxConnections = Integer.MAX_VALUE;

    /** The number of connections that were closed or not accepted at the limit. */
    private long closedAtLimit;

    /** The number of connections that were refused without a read. */
    private long refusedUnread;

    private ConnectionLimits limits = ConnectionLimits.DEFAULTS;

    private Consumer<ClosedConnection> closeListener = closed -> {};

    /** Set once each connection closes after its current request. */
    private boolean draining;

    /**
     * Creates a server with a clock of its own that doesn't listen before {@link #start}.
     *
     * @param reactor The event loop.
     * @param address The address to listen on.
     * @param handler Receives each complete request.
     */
    public CallerServer(NioReactor reactor, InetSocketAddress address, RequestHandler handler) {
        this(reactor, new ResponsiveClock(reactor), true, address, handler);
    }

    /**
     * Creates a server that doesn't listen before {@link #start}.
     *
     * @param reactor The event loop.
     * @param clock The clock of timeouts, which is started and stopped by others.
     * @param address The address to listen on.
     * @param handler Receives each complete request.
     */
    public CallerServer(
            NioReactor reactor,
            ResponsiveClock clock,
            InetSocketAddress address,
            RequestHandler handler) {
        this(reactor, clock, false, address, handler);
    }

    private CallerServer(
            NioReactor reactor,
            ResponsiveClock clock,
            boolean ownsClock,
            InetSocketAddress address,
            RequestHandler handler) {
        this.reactor = reactor;
        this.handler = handler;
        this.clock = clock;
        this.ownsClock = ownsClock;
        this.timeoutChecks = new PeriodicTask(reactor, TIMEOUT_CHECK_MILLIS, this::checkTimeouts);
        this.acceptQueue = new AcceptQueue(reactor, clock::millis, new QueueReceiver());
        this.refusedConnections = new RefusedConnections(reactor);
        this.server =
                SimpleServer.builder(reactor, this::accepted).withListenAddress(address).build();
    }

    @Override
    public Promise<Void> start() {
        Promise<Void> ready = ownsClock ? clock.start() : Promise.complete();
        return ready.then(timeoutChecks::start).then(() -> ServerStarter.start(server));
    }

    @Override
    public Promise<Void> stop() {
        stopping = true;
        draining = true;
        return server.close()
                .then(this::closeConnections)
                .then(timeoutChecks::stop)
                .then(() -> ownsClock ? clock.stop() : Promise.complete());
    }

    /** Closes all connections; those with a refusal may take {@link #STOP_MILLIS}. */
    private Promise<Void> closeConnections() {
        acceptQueue.readAll();
        Set.copyOf(connections).forEach(CallerConnection::stop);
        completeIfAllClosed();
        ResponseTimeout timeout =
                ResponseTimeout.start(reactor, clock::millis, STOP_MILLIS, this::abortConnections);
        return allClosed.whenComplete(timeout::cancel);
    }

    private void abortConnections() {
        Set.copyOf(connections).forEach(each -> each.abort(CloseReason.STOP));
        refusedConnections.abortAll(CloseReason.STOP);
    }

    private void completeIfAllClosed() {
        if (stopping && connections.isEmpty() && refusedConnections.isEmpty()) {
            allClosed.trySet(null);
        }
    }

    /**
     * Replaces the limits of connections. A request that is arriving and an idle connection keep
     * their limits where the new ones allow less, since their callers may rely on them. The maximum
     * header size applies to requests that begin later.
     *
     * @param changed The new limits.
     */
    public void setLimits(ConnectionLimits changed) {
        limits = changed;
        connections.forEach(each -> each.extendLimits(changed));
    }

    /**
     * Sets the memory for callers; called before the start.
     *
     * @param shared The memory, which other servers may share.
     */
    public void setMemory(CallerMemory shared) {
        memory = shared;
    }

    /**
     * Limits the number of open connections, so that descriptors remain for other purposes. At the
     * limit, a new connection replaces the one that has been idle for longest; if none is idle, the
     * new one is refused.
     *
     * @param count The most connections.
     */
    public void setMaxConnections(int count) {
        maxConnections = count;
        refusedConnections.limit(count);
        makeRoom(count);
    }

    /**
     * Closes the connections that have been idle for longest while there are too many, then those
     * of refused callers. Those stay on which a request has arrived.
     *
     * @param count The most connections that are to remain.
     * @return {@code true} if no more than these remain.
     */
    private boolean makeRoom(int count) {
        while (connections.size() > count && !idleConnections.isEmpty()) {
            CallerConnection oldest = idleConnections.iterator().next();
            idleConnections.remove(oldest);
            oldest.closeIfSilent(CloseReason.CONNECTION_LIMIT);
        }
        while (connections.size() > count && !dispensableConnections.isEmpty()) {
            dispensableConnections.iterator().next().abort(CloseReason.NO_MEMORY);
        }
        return connections.size() <= count;
    }

    /** Closes each connection after the request that is served on it, or after its next one. */
    public void drain() {
        draining = true;
    }

    /**
     * Closes connections that have been idle for a minimum time. Newer ones stay, since a request
     * may be on its way.
     */
    public void closeIdle() {
        long before = reactor.currentTimeMillis() - MIN_IDLE_MILLIS;
        Set.copyOf(connections).stream()
                .filter(each -> each.idleSince(before))
                .forEach(each -> each.closeIfSilent(CloseReason.DRAIN));
    }

    /**
     * {@return {@code true} if a connection became idle so recently that a request may be on its
     * way}
     */
    public boolean expectsRequests() {
        long before = reactor.currentTimeMillis() - MIN_IDLE_MILLIS;
        return connections.stream().anyMatch(each -> each.idleLaterThan(before));
    }

    /**
     * Sets the observer of closed connections.
     *
     * @param listener Called with each connection that was closed.
     */
    public void onClose(Consumer<ClosedConnection> listener) {
        closeListener = listener;
    }

    /**
     * {@return {@code true} if a request is arriving or a complete response is being sent on a
     * connection}
     */
    public boolean transferring() {
        return connections.stream().anyMatch(CallerConnection::transferring);
    }

    /** {@return the number of open connections} */
    public int connections() {
        return connections.size() + acceptQueue.size();
    }

    /** {@return the time for which an accepted connection has not been read, in milliseconds} */
    public long unreadMillis() {
        return acceptQueue.ageMillis();
    }

    /** {@return the memory for callers} */
    CallerMemory memory() {
        return memory;
    }

    /** {@return the current limits} */
    ConnectionLimits limits() {
        return limits;
    }

    /** {@return the clock of timeouts} */
    ResponsiveClock clock() {
        return clock;
    }

    /**
     * Returns the idle time that callers are told to keep to. It is told while connections are
     * scarce, and the shorter the scarcer they are, so that callers don't take up connections that
     * make room for others.
     *
     * @return The time in whole seconds, empty if the idle timeout alone holds.
     */
    OptionalLong keepAliveSeconds() {
        long freePercent = PERCENT * (maxConnections - connections.size()) / maxConnections;
        if (freePercent >= CROWDED_FREE_PERCENT) {
            return OptionalLong.empty();
        }
        long millis = limits.idleTimeoutMillis() * Math.max(0, freePercent) / CROWDED_FREE_PERCENT;
        return OptionalLong.of(Math.max(1, millis / MILLIS_PER_SECOND));
    }

    /** {@return {@code true} if connections close after their current request} */
    boolean draining() {
        return draining;
    }

    /**
     * Passes a complete request to the handler.
     *
     * @param exchange The request and its pending response.
     */
    void handle(CallerExchange exchange) {
        handler.handle(exchange);
    }

    /**
     * Removes a connection that has closed.
     *
     * @param connection The connection.
     * @param closed Its state at the close.
     */
    void closed(CallerConnection connection, ClosedConnection closed) {
        connections.remove(connection);
        idleConnections.remove(connection);
        dispensableConnections.remove(connection);
        if (closed.reason() == CloseReason.CONNECTION_LIMIT) {
            closedAtLimit++;
        }
        refusedConnections.remove(connection);
        closeListener.accept(closed);
        completeIfAllClosed();
    }

    /**
     * Records that a connection has no request, as after its last response.
     *
     * @param connection The connection.
     */
    void becameIdle(CallerConnection connection) {
        idleConnections.remove(connection);
        idleConnections.add(connection);
    }

    /**
     * Records that a connection is only open for its caller to read a refusal.
     *
     * @param connection The connection.
     */
    void becameDispensable(CallerConnection connection) {
        if (connections.contains(connection)) {
            dispensableConnections.add(connection);
        }
    }

    /** {@return the codecs that no connection uses} */
    CallerCodecs codecs() {
        return codecs;
    }

    /**
     * Records that a connection receives or serves a request.
     *
     * @param connection The connection.
     */
    void becameActive(CallerConnection connection) {
        idleConnections.remove(connection);
    }

    /** {@return the number of connections that were refused since they had waited for too long} */
    public long refusedUnread() {
        return refusedUnread;
    }

    /** {@return the number of connections that were closed or not accepted at the limit} */
    public long closedAtLimit() {
        return closedAtLimit;
    }

    private void accepted(ITcpSocket socket) {
        if (connections() < maxConnections) {
            acceptQueue.add(socket);
        } else {
            read(socket);
        }
    }

    private void refuseUnread(ITcpSocket socket) {
        refusedUnread++;
        CallerConnection connection = new CallerConnection(reactor, socket, this);
        refusedConnections.add(connection);
        connection.refuseUnread(CloseReason.UNREAD);
    }

    private void read(ITcpSocket socket) {
        boolean room = makeRoom(maxConnections - 1);
        CallerConnection connection = new CallerConnection(reactor, socket, this);
        if (room) {
            connections.add(connection);
            connection.start();
        } else {
            refusedConnections.add(connection);
            connection.refuse(CloseReason.CONNECTION_LIMIT);
        }
    }

    private void checkTimeouts() {
        long now = reactor.currentTimeMillis();
        Set.copyOf(connections).forEach(each -> each.closeIfTimedOut(now));
        if (memory.full()) {
            closeStalled();
        }
    }

    /** Closes connections whose callers don't read, the longest first, until there is room. */
    private void closeStalled() {
        List<CallerConnection> stalled =
                connections.stream()
                        .filter(each -> each.unreadMillis() >= STALLED_MILLIS)
                        .sorted(Comparator.comparingLong(CallerConnection::unreadMillis).reversed())
                        .toList();
        for (CallerConnection each : stalled) {
            if (!memory.full()) {
                break;
            }
            each.abort(CloseReason.SLOW_CALLER);
        }
    }

    /** Takes connections from the queue. */
    private final class QueueReceiver implements AcceptQueue.Receiver {

        @Override
        public void read(ITcpSocket socket) {
            CallerServer.this.read(socket);
        }

        @Override
        public void refuse(ITcpSocket socket) {
            refuseUnread(socket);
        }
    }
}
