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
import java.util.HashSet;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.observe.LogEvent;
import org.martenwell.service.ManagedService;
import org.martenwell.service.ServerStarter;

/**
 * Takes connections from peers. A frame that can't be accepted costs its sender the connection. As
 * peers only send, the server sends them pulses, by which they notice a connection that went
 * silent.
 */
final class PeerServer implements ManagedService {

    /** How often a pulse is sent over each connection, in milliseconds. */
    static final long PULSE_MILLIS = 500;

    /** What a pulse holds; it has no meaning. */
    private static final byte[] PULSE = {0};

    /** The log. */
    private static final Logger LOGGER = LogManager.getLogger(PeerServer.class);

    /** Makes nonces, which must not be guessed. */
    private static final SecureRandom NONCES = new SecureRandom();

    /** The loop. */
    private final NioReactor reactor;

    /** The server. */
    private final SimpleServer server;

    /** The key that peers share. */
    private final String key;

    /** Counts traffic. */
    private final PeerTraffic traffic;

    /** Is told of messages. */
    private final PeerListener listener;

    /** The open connections. */
    private final Set<ITcpSocket> sockets = new HashSet<>();

    /** Whether the server stopped. */
    private boolean stopped;

    /**
     * Creates a server that does not listen yet.
     *
     * @param reactor The loop.
     * @param address Where to listen.
     * @param key The key that peers share.
     * @param traffic Counts traffic.
     * @param listener Is told of messages.
     */
    PeerServer(
            NioReactor reactor,
            InetSocketAddress address,
            String key,
            PeerTraffic traffic,
            PeerListener listener) {
        this.reactor = reactor;
        this.key = key;
        this.traffic = traffic;
        this.listener = listener;
        this.server = SimpleServer.builder(reactor, this::serve).withListenAddress(address).build();
    }

    @Override
    public Promise<Void> start() {
        pulseLater();
        return ServerStarter.start(server);
    }

    @Override
    public Promise<Void> stop() {
        stopped = true;
        Set.copyOf(sockets).forEach(ITcpSocket::close);
        return server.close().toVoid();
    }

    /**
     * Sends a pulse over each connection, again and again. A connection that breaks ends itself.
     */
    private void pulse() {
        if (stopped) {
            return;
        }
        Set.copyOf(sockets).forEach(each -> each.write(ByteBuf.wrapForReading(PULSE)));
        pulseLater();
    }

    /** Sends the next pulse after a while. */
    private void pulseLater() {
        reactor.delayBackground(PULSE_MILLIS, this::pulse);
    }

    /**
     * Serves one connection.
     *
     * @param socket The connection.
     */
    private void serve(ITcpSocket socket) {
        byte[] nonce = new byte[FrameCodec.NONCE_BYTES];
        NONCES.nextBytes(nonce);
        sockets.add(socket);
        FrameCodec codec = new FrameCodec(key, nonce);
        socket.write(ByteBuf.wrapForReading(nonce))
                .then(() -> read(socket, codec))
                .whenException(exception -> refuse(exception))
                .whenComplete(
                        () -> {
                            sockets.remove(socket);
                            socket.close();
                        });
    }

    /**
     * Reads frames until the connection ends.
     *
     * @param socket The connection.
     * @param codec Checks frames.
     * @return Completes when the connection ends.
     */
    private Promise<Void> read(ITcpSocket socket, FrameCodec codec) {
        MessageReader messages = new MessageReader();
        return BinaryChannelSupplier.of(ChannelSuppliers.ofSocket(socket))
                .decodeStream(
                        ByteBufsDecoders.ofVarIntSizePrefixedBytes(FrameCodec.MAX_FRAME_BYTES))
                .streamTo(
                        ChannelConsumers.ofConsumer(
                                frame -> receive(codec, messages, frame.asArray())));
    }

    /**
     * Takes in one frame.
     *
     * @param codec Checks frames.
     * @param messages Reads messages.
     * @param frame The frame.
     */
    private void receive(FrameCodec codec, MessageReader messages, byte[] frame) {
        traffic.received(frame.length);
        messages.read(codec.open(frame)).forEach(listener::received);
    }

    /**
     * Notes why a connection ends.
     *
     * @param exception The failure.
     */
    private void refuse(Exception exception) {
        if (exception instanceof MartenwellException known && known.kind() == ErrorKind.BAD_FRAME) {
            traffic.refused();
            LOGGER.warn(LogEvent.of("peer-refused").with("reason", known.getMessage()).message());
        }
    }
}
