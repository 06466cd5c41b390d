package org.martenwell.exchange;

import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/** The connections to one target: opens them and keeps idle ones for the next request. */
public final class TargetConnections {

    /** How long a connection may rest if the target does not say, in milliseconds. */
    private static final long DEFAULT_REST_MILLIS = 4_000;

    /** The loop. */
    private final NioReactor reactor;

    /** The target's address. */
    private final InetSocketAddress address;

    /** How long opening a connection may take, in milliseconds. */
    private final long connectMillis;

    /** How open connections are checked while nothing arrives. */
    private final KeepAlive keepAlive;

    /** Is told of each answer's head. */
    private final AnswerHeadListener headListener;

    /** The idle connections, the last used one first. */
    private final Deque<TargetConnection> idle = new ArrayDeque<>();

    /** Whether no connection is kept any more. */
    private boolean closed;

    /**
     * Creates connections to a target.
     *
     * @param reactor The loop.
     * @param address The target's address.
     * @param connectMillis How long opening a connection may take, in milliseconds.
     * @param keepAlive How open connections are checked while nothing arrives.
     * @param headListener Is told of each answer's head.
     */
    public TargetConnections(
            NioReactor reactor,
            InetSocketAddress address,
            long connectMillis,
            KeepAlive keepAlive,
            AnswerHeadListener headListener) {
        this.reactor = reactor;
        this.address = address;
        this.connectMillis = connectMillis;
        this.keepAlive = keepAlive;
        this.headListener = headListener;
    }

    /**
     * Sends a request over an idle connection or a new one.
     *
     * @param request The request.
     * @param listener Is told of the answer.
     * @param opened Is told of the connection before anything is sent.
     */
    public void send(
            TargetRequestHead request, AnswerListener listener, Consumer<TargetConnection> opened) {
        for (TargetConnection each = idle.poll(); each != null; each = idle.poll()) {
            if (each.usable()) {
                sendOn(each, request, listener, opened);
                return;
            }
            each.cancel();
        }
        sendOnNew(request, listener, opened);
    }

    /**
     * Sends a request over an open connection.
     *
     * @param connection The connection.
     * @param request The request.
     * @param listener Is told of the answer.
     * @param opened Is told of the connection before anything is sent; nothing is if it cancels it.
     */
    private static void sendOn(
            TargetConnection connection,
            TargetRequestHead request,
            AnswerListener listener,
            Consumer<TargetConnection> opened) {
        opened.accept(connection);
        if (connection.usable()) {
            connection.send(request, listener);
        }
    }

    /**
     * Sends a request over a new connection.
     *
     * @param request The request.
     * @param listener Is told of the answer.
     * @param opened Is told of the connection before anything is sent.
     */
    public void sendOnNew(
            TargetRequestHead request, AnswerListener listener, Consumer<TargetConnection> opened) {
        TcpSocket.connect(reactor, address, Duration.ofMillis(connectMillis), settings())
                .subscribe(
                        (socket, failure) -> {
                            if (failure != null) {
                                listener.failed(AnswerFailure.of(Reach.of(failure)));
                                return;
                            }
                            sendOn(open(socket), request, listener, opened);
                        });
    }

    /**
     * Finds out whether the target can be reached, by a new connection. One that opens is kept for
     * the next request.
     *
     * @param listener Is told what came of it.
     */
    public void probe(Consumer<Reach> listener) {
        TcpSocket.connect(reactor, address, Duration.ofMillis(connectMillis), settings())
                .subscribe(
                        (socket, failure) -> {
                            if (failure != null) {
                                listener.accept(Reach.of(failure));
                                return;
                            }
                            keep(open(socket), 0);
                            listener.accept(Reach.ACCEPTED);
                        });
    }

    /**
     * Keeps a connection for the next request, if it can carry one.
     *
     * @param connection The connection.
     * @param restMillis How long it may rest, in milliseconds, or 0 if the target did not say.
     */
    public void keep(TargetConnection connection, long restMillis) {
        long rest = restMillis > 0 ? restMillis : DEFAULT_REST_MILLIS;
        connection.useUntil(reactor.currentTimeMillis() + rest);
        if (closed || !connection.usable()) {
            connection.cancel();
        } else {
            idle.push(connection);
        }
    }

    /**
     * Returns whether no connection is kept any more, since the target is no longer known.
     *
     * @return {@code true} once they were closed.
     */
    public boolean closed() {
        return closed;
    }

    /** Closes idle connections. */
    public void closeIdle() {
        List.copyOf(idle).forEach(TargetConnection::cancel);
    }

    /** Closes idle connections and keeps none any more. */
    public void close() {
        closed = true;
        closeIdle();
    }

    /**
     * Takes an open socket.
     *
     * @param socket The socket.
     * @return The connection.
     */
    private TargetConnection open(TcpSocket socket) {
        keepAlive.apply(socket);
        TargetConnection[] connection = new TargetConnection[1];
        connection[0] =
                new TargetConnection(
                        reactor, socket, headListener, () -> idle.remove(connection[0]));
        return connection[0];
    }

    /**
     * Returns the settings of sockets.
     *
     * @return The settings.
     */
    private static SocketSettings settings() {
        return SocketSettings.builder().withTcpNoDelay(true).build();
    }
}
