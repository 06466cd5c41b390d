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
final class PeerLink {

    /**
     * How long a connection may take to open, in milliseconds. A lost packet is sent again after 1
     * s, so a new attempt is faster than waiting for longer than a few round trips.
     */
    private static final long CONNECT_MILLIS = 400;

    /**
     * How long nothing may arrive, in milliseconds: four pulses of the peer's server in a row may
     * be lost. Writes tell nothing, since the system takes them while the other side is silent.
     */
    private static final long SILENT_MILLIS = 5 * PeerServer.PULSE_MILLIS;

    /** The first delay before another attempt, in milliseconds. */
    private static final long FIRST_DELAY_MILLIS = 50;

    /**
     * The longest mean delay before another attempt, in milliseconds, so that peers hear of each
     * other within 2 s behind a cut.
     */
    private static final long LONGEST_DELAY_MILLIS = 1_000;

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
    private MessageWriter messages;

    /** Signs frames, or {@code null} if there is no connection. */
    private FrameCodec codec;

    /** {@code true} while a write is due in the loop. */
    private boolean writeDue;

    /** {@code true} while bytes are being written. */
    private boolean writing;

    /** {@code true} once closed for good. */
    private boolean closed;

    /** The delay before the next attempt, in milliseconds. */
    private long delayMillis = FIRST_DELAY_MILLIS;

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
    PeerLink(
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
                        Duration.ofMillis(CONNECT_MILLIS),
                        settings())
                .whenResult(this::opened)
                .whenException(exception -> retryLater());
    }

    /**
     * Returns the settings of sockets.
     *
     * @return The settings.
     */
    private static SocketSettings settings() {
        return SocketSettings.builder()
                .withImplReadTimeout(Duration.ofMillis(SILENT_MILLIS))
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
        byte[] form = messages.write(message);
        pending.writeBytes(form);
        traffic.sent(MessageType.of(message), form.length);
        if (!writeDue) {
            writeDue = true;
            reactor.postLast(this::writeDue);
        }
    }

    /**
     * Takes the opened connection and waits for its nonce.
     *
     * @param opened The connection.
     */
    private void opened(TcpSocket opened) {
        if (closed) {
            opened.close();
            return;
        }
        BinaryChannelSupplier input = BinaryChannelSupplier.of(ChannelSuppliers.ofSocket(opened));
        input.decode(ByteBufsDecoders.ofFixedSize(FrameCodec.NONCE_BYTES))
                .whenResult(nonce -> greeted(opened, nonce.asArray()))
                .then(() -> input.decodeStream(ByteBufsDecoders.ofFixedSize(1)).streamTo(pulses()))
                .whenComplete(() -> broken(opened));
    }

    /**
     * Returns what takes the pulses of a peer's server. That they arrive is all that they tell.
     *
     * @return The consumer.
     */
    private static ChannelConsumer<ByteBuf> pulses() {
        return ChannelConsumers.ofConsumer(ByteBuf::recycle);
    }

    /**
     * Starts sending.
     *
     * @param opened The connection.
     * @param nonce Its nonce.
     */
    private void greeted(TcpSocket opened, byte[] nonce) {
        socket = opened;
        codec = new FrameCodec(key, nonce);
        messages = new MessageWriter();
        delayMillis = FIRST_DELAY_MILLIS;
        listener.connected(name);
    }

    /**
     * Drops a broken connection.
     *
     * @param broken The connection.
     */
    private void broken(TcpSocket broken) {
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
            delayMillis = Math.min(LONGEST_DELAY_MILLIS, delayMillis * 2);
            reactor.delayBackground(jittered, this::open);
        }
    }

    /**
     * Writes what waits once the loop has done what was due, so that one frame carries all of it.
     */
    private void writeDue() {
        writeDue = false;
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
        traffic.framed(buffer.readRemaining() - frame.length + FrameCodec.SIGNATURE_BYTES);
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
