package org.martenwell.peer;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufPool;
import io.activej.csp.binary.BinaryChannelSupplier;
import io.activej.csp.binary.decoder.ByteBufsDecoders;
import io.activej.csp.consumer.ChannelConsumer;
import io.activej.csp.consumer.ChannelConsumers;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Random;
import org.martenwell.message.PeerMessage;
import org.martenwell.service.IpAddress;

/**
 * The connection to one peer. It is opened again whenever it breaks or nothing arrives on it, with
 * growing, jittered delay.
 */
final class PeerConnection {

    /**
     * How long a connection may take to open, in milliseconds. A lost packet is sent again after 1
     * s, so a new attempt is faster than waiting for longer than a few round trips.
     */
    private static final long CONNECT_TIMEOUT_MILLIS = 400;

    /**
     * How long nothing may arrive, in milliseconds: four pulses of the peer's server in a row may
     * be lost. Writes tell nothing, since the system takes them while the other side is silent.
     */
    private static final long READ_TIMEOUT_MILLIS = 5 * PeerServer.KEEP_ALIVE_MILLIS;

    /** The first delay before another attempt, in milliseconds. */
    private static final long INITIAL_DELAY_MILLIS = 50;

    /**
     * The longest mean delay before another attempt, in milliseconds, so that peers hear of each
     * other within 2 s behind a cut.
     */
    private static final long MAX_DELAY_MILLIS = 1_000;

    /** The most bytes that wait to be sent; a peer that takes none loses its connection. */
    private static final int MAX_PENDING_BYTES = 4 << 20;

    /** The largest size of a frame's length field, in bytes. */
    private static final int MAX_LENGTH_BYTES = 5;

    /** The loop. */
    private final NioReactor reactor;

    /** The peer's name. */
    private final String name;

    /** The peer's address. */
    private final String address;

    /** The key that peers share. */
    private final String key;

    /** Spreads attempts to connect. */
    private final Random random;

    /** Counts traffic. */
    private final PeerTraffic traffic;

    /** Is told when the connection opens. */
    private final PeerListener listener;

    /** What waits to be sent. */
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

    /** The connection or {@code null} if there is none. */
    private TcpSocket socket;

    /** Writes messages, or {@code null} if there is no connection. */
    private MessageWriter messageWriter;

    /** Signs frames, or {@code null} if there is no connection. */
    private FrameCodec codec;

    /** {@code true} while a write is due in the loop. */
    private boolean flushScheduled;

    /** {@code true} while bytes are being written. */
    private boolean writing;

    /** {@code true} once closed for good. */
    private boolean closed;

    /** The delay before the next attempt, in milliseconds. */
    private long delayMillis = INITIAL_DELAY_MILLIS;

    /**
     * Creates a connection that is not open.
     *
     * @param reactor The loop.
     * @param name The peer's name.
     * @param address The peer's address.
     * @param key The key that peers share.
     * @param random Spreads attempts to connect.
     * @param traffic Counts traffic.
     * @param listener Is told when the connection opens.
     */
    PeerConnection(
            NioReactor reactor,
            String name,
            String address,
            String key,
            Random random,
            PeerTraffic traffic,
            PeerListener listener) {
        this.reactor = reactor;
        this.name = name;
        this.address = address;
        this.key = key;
        this.random = random;
        this.traffic = traffic;
        this.listener = listener;
    }

    /**
     * Returns the peer's address.
     *
     * @return The address.
     */
    String address() {
        return address;
    }

    /** Opens the connection. */
    void open() {
        TcpSocket.connect(
                        reactor,
                        IpAddress.of(address),
                        Duration.ofMillis(CONNECT_TIMEOUT_MILLIS),
                        settings())
                .whenResult(this::onConnected)
                .whenException(exception -> retryLater());
    }

    /**
     * Returns the settings of sockets.
     *
     * @return The settings.
     */
    private static SocketSettings settings() {
        return SocketSettings.builder()
                .withImplReadTimeout(Duration.ofMillis(READ_TIMEOUT_MILLIS))
                .build();
    }

    /** Closes the connection for good. */
    void close() {
        closed = true;
        if (socket != null) {
            socket.close();
        }
    }

    /**
     * Sends a message, or drops it if there is no connection.
     *
     * @param message The message.
     */
    void send(PeerMessage message) {
        if (codec == null) {
            return;
        }
        if (pending.size() > MAX_PENDING_BYTES) {
            socket.close();
            return;
        }
        byte[] form = messageWriter.write(message);
        pending.writeBytes(form);
        traffic.messageSent(MessageType.of(message), form.length);
        if (!flushScheduled) {
            flushScheduled = true;
            reactor.postLast(this::flush);
        }
    }

    /**
     * Takes the opened connection and waits for its nonce.
     *
     * @param opened The connection.
     */
    private void onConnected(TcpSocket opened) {
        if (closed) {
            opened.close();
            return;
        }
        BinaryChannelSupplier input = BinaryChannelSupplier.of(ChannelSuppliers.ofSocket(opened));
        input.decode(ByteBufsDecoders.ofFixedSize(FrameCodec.NONCE_BYTES))
                .whenResult(nonce -> onNonceReceived(opened, nonce.asArray()))
                .then(
                        () ->
                                input.decodeStream(ByteBufsDecoders.ofFixedSize(1))
                                        .streamTo(keepAliveConsumer()))
                .whenComplete(() -> onDisconnected(opened));
    }

    /**
     * Returns what takes the pulses of a peer's server. That they arrive is all that they tell.
     *
     * @return The consumer.
     */
    private static ChannelConsumer<ByteBuf> keepAliveConsumer() {
        return ChannelConsumers.ofConsumer(ByteBuf::recycle);
    }

    /**
     * Starts sending.
     *
     * @param opened The connection.
     * @param nonce Its nonce.
     */
    private void onNonceReceived(TcpSocket opened, byte[] nonce) {
        socket = opened;
        codec = new FrameCodec(key, nonce);
        messageWriter = new MessageWriter();
        delayMillis = INITIAL_DELAY_MILLIS;
        listener.connected(name);
    }

    /**
     * Drops a broken connection.
     *
     * @param broken The connection.
     */
    private void onDisconnected(TcpSocket broken) {
        broken.close();
        socket = null;
        codec = null;
        writing = false;
        pending.reset();
        retryLater();
    }

    /** Opens the connection again after a delay. */
    private void retryLater() {
        if (!closed) {
            long jittered = delayMillis / 2 + random.nextLong(delayMillis);
            delayMillis = Math.min(MAX_DELAY_MILLIS, delayMillis * 2);
            reactor.delayBackground(jittered, this::open);
        }
    }

    /**
     * Writes what waits once the loop has done what was due, so that one frame carries all of it.
     */
    private void flush() {
        flushScheduled = false;
        write();
    }

    /** Writes what waits, in one frame, if nothing is being written. */
    private void write() {
        if (writing || codec == null || pending.size() == 0) {
            return;
        }
        TcpSocket current = socket;
        byte[] frame = codec.seal(pending.toByteArray());
        pending.reset();
        ByteBuf buffer = ByteBufPool.allocate(frame.length + MAX_LENGTH_BYTES);
        buffer.writeVarInt(frame.length);
        buffer.write(frame);
        traffic.frameOverheadSent(
                buffer.readRemaining() - frame.length + FrameCodec.SIGNATURE_BYTES);
        writing = true;
        current.write(buffer)
                .whenResult(
                        () -> {
                            if (current == socket) {
                                writing = false;
                                write();
                            }
                        })
                .whenException(exception -> current.close());
    }
}
