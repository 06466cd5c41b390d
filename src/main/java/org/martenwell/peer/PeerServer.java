package org.martenwell.peer;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.binary.BinaryChannelSupplier;
import io.activej.csp.binary.decoder.ByteBufsDecoders;
import io.activej.csp.consumer.ChannelConsumers;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.message.PeerMessage;
import org.martenwell.observe.LogEvent;
import org.martenwell.service.ManagedService;
import org.martenwell.service.PeriodicTask;
import org.martenwell.service.ServerStarter;
import org.martenwell.service.StepGuard;

/**
 * Accepts connections from peers and receives messages over them. A connection with an invalid
 * frame is closed. The server sends keep-alives over each connection, so that peers, which
 * otherwise only send, can detect a dead connection.
 */
final class PeerServer implements ManagedService {

    /** The interval between keep-alives in milliseconds. */
    static final long KEEP_ALIVE_MILLIS = 500;

    /** The content of a keep-alive, which receivers ignore. */
    private static final byte[] KEEP_ALIVE = {0};

    private static final Logger LOGGER = LogManager.getLogger(PeerServer.class);

    /** The source of nonces, which must be unpredictable. */
    private static final SecureRandom NONCE_SOURCE = new SecureRandom();

    private final SimpleServer server;

    /** The secret shared by all peers. */
    private final String key;

    private final PeerTraffic traffic;

    private final PeerListener listener;

    /** The open connections. */
    private final Set<ITcpSocket> sockets = new HashSet<>();

    /** The peers that sent {@link OffloadMessage}s, by the connection on which they did. */
    private final Map<ITcpSocket, String> senders = new HashMap<>();

    private final PeriodicTask keepAlives;

    /** Set once the server stops, when the end of a connection is no loss. */
    private boolean stopping;

    /**
     * Creates a server that doesn't listen yet.
     *
     * @param reactor The event loop.
     * @param address The address to listen on.
     * @param key The secret shared by all peers.
     * @param traffic Counts traffic.
     * @param listener Receives messages.
     */
    PeerServer(
            NioReactor reactor,
            InetSocketAddress address,
            String key,
            PeerTraffic traffic,
            PeerListener listener) {
        this.key = key;
        this.traffic = traffic;
        this.listener = listener;
        this.keepAlives = new PeriodicTask(reactor, KEEP_ALIVE_MILLIS, this::sendKeepAlives);
        this.server = SimpleServer.builder(reactor, this::serve).withListenAddress(address).build();
    }

    @Override
    public Promise<Void> start() {
        return keepAlives.start().then(() -> ServerStarter.start(server));
    }

    @Override
    public Promise<Void> stop() {
        stopping = true;
        Set.copyOf(sockets).forEach(ITcpSocket::close);
        return keepAlives.stop().then(server::close).toVoid();
    }

    /**
     * Returns whether a connection is open on which a peer sent {@link OffloadMessage}s.
     *
     * @param peer The peer's name.
     * @return {@code true} if there is one.
     */
    boolean receivesFrom(String peer) {
        return senders.containsValue(peer);
    }

    /**
     * Closes the connections on which a peer sent {@link OffloadMessage}s.
     *
     * @param peer The peer's name.
     */
    void closeFrom(String peer) {
        List.copyOf(senders.entrySet()).stream()
                .filter(each -> each.getValue().equals(peer))
                .forEach(each -> close(each.getKey()));
    }

    /** {@return the number of open connections} */
    int connections() {
        return sockets.size();
    }

    /**
     * Sends a keep-alive over each connection. A failed write needs no handling, since reading from
     * the broken connection fails as well.
     */
    private void sendKeepAlives() {
        Set.copyOf(sockets).forEach(each -> each.write(ByteBuf.wrapForReading(KEEP_ALIVE)));
    }

    /**
     * Sends the nonce, then reads frames until the connection ends.
     *
     * @param socket The connection.
     */
    private void serve(ITcpSocket socket) {
        byte[] nonce = new byte[FrameCodec.NONCE_BYTES];
        NONCE_SOURCE.nextBytes(nonce);
        sockets.add(socket);
        StepGuard.ofSocket(socket, "PeerServer", thrown -> close(socket));
        FrameCodec codec = new FrameCodec(key, nonce);
        socket.write(ByteBuf.wrapForReading(nonce))
                .then(() -> read(socket, codec))
                .whenException(exception -> recordFailure(exception))
                .whenComplete(() -> close(socket));
    }

    private void close(ITcpSocket socket) {
        sockets.remove(socket);
        String sender = senders.remove(socket);
        socket.close();
        if (sender != null && !stopping) {
            listener.peerDisconnected(sender);
        }
    }

    /**
     * Reads frames until the connection ends.
     *
     * @param socket The connection.
     * @param codec Verifies the frames.
     * @return A promise that completes when the connection ends.
     */
    private Promise<Void> read(ITcpSocket socket, FrameCodec codec) {
        MessageReader messages = new MessageReader();
        return BinaryChannelSupplier.of(ChannelSuppliers.ofSocket(socket))
                .decodeStream(
                        ByteBufsDecoders.ofVarIntSizePrefixedBytes(FrameCodec.MAX_FRAME_BYTES))
                .streamTo(
                        ChannelConsumers.ofConsumer(
                                frame -> receive(socket, codec, messages, frame.asArray())));
    }

    private void receive(
            ITcpSocket socket, FrameCodec codec, MessageReader messages, byte[] frame) {
        traffic.frameReceived(frame.length);
        for (PeerMessage each : messages.read(codec.verify(frame))) {
            if (each instanceof OffloadMessage message && sockets.contains(socket)) {
                senders.put(socket, message.sender());
            }
            listener.receive(each);
        }
    }

    /**
     * Counts and logs an invalid frame. Other failures of a connection are expected and ignored.
     *
     * @param exception The cause.
     */
    private void recordFailure(Exception exception) {
        if (exception instanceof MartenwellException failure
                && failure.kind() == ErrorKind.BAD_FRAME) {
            traffic.frameRejected();
            LOGGER.warn(LogEvent.of("peer-refused").with("reason", failure.getMessage()).message());
        }
    }
}
