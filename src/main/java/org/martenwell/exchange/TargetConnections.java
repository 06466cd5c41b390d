package org.martenwell.exchange;

import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.martenwell.service.StepGuard;
import org.martenwell.service.TcpConnector;

/** The connection pool of one target. Idle connections are reused, the last used one first. */
public final class TargetConnections {

    /**
     * The maximum idle time of a connection for which the target announced none, in milliseconds.
     */
    private static final long DEFAULT_IDLE_MILLIS = 4_000;

    private final NioReactor reactor;

    private final InetSocketAddress address;

    private final long connectTimeoutMillis;

    private final KeepAlive keepAlive;

    private final ResponseHeadListener headListener;

    /** The idle connections, the last used one first. */
    private final Deque<TargetConnection> idle = new ArrayDeque<>();

    /** Set once returned connections are closed instead of pooled. */
    private boolean closed;

    /**
     * Creates an empty pool.
     *
     * @param reactor The event loop.
     * @param address The target's address.
     * @param connectTimeoutMillis The timeout of connecting, in milliseconds.
     * @param keepAlive The detection of dead connections.
     * @param headListener Receives the head of each response.
     */
    public TargetConnections(
            NioReactor reactor,
            InetSocketAddress address,
            long connectTimeoutMillis,
            KeepAlive keepAlive,
            ResponseHeadListener headListener) {
        this.reactor = reactor;
        this.address = address;
        this.connectTimeoutMillis = connectTimeoutMillis;
        this.keepAlive = keepAlive;
        this.headListener = headListener;
    }

    /**
     * Sends a request over an idle connection, or over a new one if none can carry the request.
     *
     * @param request The request.
     * @param listener Receives the response.
     * @param opened Receives the connection before anything is sent, and may cancel it.
     */
    public void send(
            OutboundRequest request, ResponseListener listener, Consumer<TargetConnection> opened) {
        Optional<TargetConnection> connection = takeIdle(request.method(), listener);
        if (connection.isPresent()) {
            sendOnConnection(connection.get(), request, listener, opened);
        } else {
            sendOnNewConnection(request, listener, opened);
        }
    }

    /**
     * Removes the first idle connection that can carry a request, and closes unusable ones before
     * it.
     *
     * @param method The method of the request.
     * @param listener Receives the response to the request.
     * @return The connection, or empty if none can carry the request.
     */
    private Optional<TargetConnection> takeIdle(HttpMethod method, ResponseListener listener) {
        List<TargetConnection> skipped = new ArrayList<>(0);
        TargetConnection taken = null;
        for (TargetConnection each = idle.poll(); each != null; each = idle.poll()) {
            if (!each.usable()) {
                each.cancel();
            } else if (each.history().allows(method) && listener.accepts(each.history())) {
                taken = each;
                break;
            } else {
                skipped.add(each);
            }
        }
        for (int index = skipped.size() - 1; index >= 0; index--) {
            idle.push(skipped.get(index));
        }
        return Optional.ofNullable(taken);
    }

    /**
     * Sends a request over a given connection.
     *
     * @param connection The connection.
     * @param request The request.
     * @param listener Receives the response.
     * @param opened Receives the connection first; if it cancels it, nothing is sent.
     */
    private static void sendOnConnection(
            TargetConnection connection,
            OutboundRequest request,
            ResponseListener listener,
            Consumer<TargetConnection> opened) {
        StepGuard.of(
                        "TargetConnections",
                        Optional::empty,
                        thrown -> {
                            connection.cancel();
                            listener.failed(ResponseFailure.DEFECT);
                        })
                .run(
                        () -> {
                            opened.accept(connection);
                            if (connection.usable()) {
                                connection.send(request, listener);
                            }
                        });
    }

    /**
     * Sends a request over a new connection.
     *
     * @param request The request.
     * @param listener Receives the response, or the failure to connect.
     * @param opened Receives the connection before anything is sent, and may cancel it.
     */
    public void sendOnNewConnection(
            OutboundRequest request, ResponseListener listener, Consumer<TargetConnection> opened) {
        TcpConnector.connect(reactor, address, connectTimeoutMillis, socketSettings())
                .subscribe(
                        (socket, failure) -> {
                            if (failure != null) {
                                listener.failed(ResponseFailure.of(ConnectResult.of(failure)));
                                return;
                            }
                            sendOnSocket(socket, request, listener, opened);
                        });
    }

    /** Sends a request over a connected socket, which is closed if it can't be wrapped. */
    private void sendOnSocket(
            TcpSocket socket,
            OutboundRequest request,
            ResponseListener listener,
            Consumer<TargetConnection> opened) {
        StepGuard.ofSocket(
                        socket,
                        "TargetConnections",
                        thrown -> {
                            socket.close();
                            listener.failed(ResponseFailure.DEFECT);
                        })
                .run(() -> sendOnConnection(wrap(socket), request, listener, opened));
    }

    /**
     * Checks that the target accepts connections, by opening one, which the next request uses.
     *
     * @param listener Receives the outcome.
     */
    public void probe(Consumer<ConnectResult> listener) {
        TcpConnector.connect(reactor, address, connectTimeoutMillis, socketSettings())
                .subscribe(
                        (socket, failure) -> {
                            if (failure != null) {
                                listener.accept(ConnectResult.of(failure));
                                return;
                            }
                            release(wrap(socket), 0);
                            listener.accept(ConnectResult.ACCEPTED);
                        });
    }

    /**
     * Returns a connection to the pool, or closes it if it can't carry another request.
     *
     * @param connection The connection.
     * @param idleMillis The maximum idle time that the target announced, in milliseconds, or 0 for
     *     none.
     */
    public void release(TargetConnection connection, long idleMillis) {
        long effectiveIdleMillis = idleMillis > 0 ? idleMillis : DEFAULT_IDLE_MILLIS;
        connection.setUsableUntil(reactor.currentTimeMillis() + effectiveIdleMillis);
        if (closed || !connection.usable()) {
            connection.cancel();
        } else {
            idle.push(connection);
        }
    }

    /** {@return {@code true} if a request can be sent now without opening a connection} */
    public boolean hasIdle() {
        return idle.stream().anyMatch(TargetConnection::usable);
    }

    /** {@return {@code true} once {@link #close} was called, as for a target that was removed} */
    public boolean closed() {
        return closed;
    }

    /** Closes idle connections; the pool remains usable. */
    public void closeIdle() {
        List.copyOf(idle).forEach(TargetConnection::cancel);
    }

    /** Closes idle connections; those in use close when they are returned. */
    public void close() {
        closed = true;
        closeIdle();
    }

    /**
     * Wraps a connected socket. The connection removes itself from the pool when it closes.
     *
     * @param socket The socket.
     * @return The connection.
     */
    private TargetConnection wrap(TcpSocket socket) {
        keepAlive.apply(socket);
        TargetConnection[] connection = new TargetConnection[1];
        connection[0] =
                new TargetConnection(
                        reactor, socket, headListener, () -> idle.remove(connection[0]));
        return connection[0];
    }

    private static SocketSettings socketSettings() {
        return SocketSettings.builder().withTcpNoDelay(true).build();
    }
}
