package org.martenwell.peer;

import io.activej.async.exception.AsyncTimeoutException;
import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufPool;
import io.activej.csp.binary.BinaryChannelSupplier;
import io.activej.csp.binary.decoder.ByteBufsDecoders;
import io.activej.csp.consumer.ChannelConsumer;
import io.activej.csp.consumer.ChannelConsumers;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.io.IOException;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.Random;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.message.PeerMessage;
import org.martenwell.observe.LogEvent;
import org.martenwell.service.IpAddress;
import org.martenwell.service.ResponseTimeout;
import org.martenwell.service.StepGuard;
import org.martenwell.service.TcpConnector;

/**
 * Outgoing connection to one peer. Reconnects with exponential backoff and jitter whenever the
 * connection fails or no keep-alive arrives in time.
 */
final class PeerConnection {

    private static final Logger LOGGER = LogManager.getLogger(PeerConnection.class);

    /**
     * The timeout for connecting, in milliseconds. It is shorter than the retransmission timeout of
     * TCP, which is about 1 s, so a new attempt is faster than waiting for a lost packet.
     */
    private static final long CONNECT_TIMEOUT_MILLIS = 400;

    /**
     * The maximum time between received bytes, in milliseconds, which allows for four missing
     * keep-alives. Writes don't detect an unresponsive peer, because the operating system buffers
     * them.
     */
    private static final long READ_TIMEOUT_MILLIS = 5 * PeerServer.KEEP_ALIVE_MILLIS;

    /** The first delay before a reconnect, in milliseconds. */
    private static final long INITIAL_DELAY_MILLIS = 50;

    /**
     * The maximum mean delay before a reconnect, in milliseconds. It lets peers communicate again
     * within 2 s after a network partition ends.
     */
    private static final long MAX_DELAY_MILLIS = 1_000;

    /**
     * The maximum number of buffered bytes; the connection to a peer that doesn't read fast enough
     * is closed.
     */
    private static final int MAX_PENDING_BYTES = 4 << 20;

    /** The maximum size of the messages of a frame in bytes. */
    private static final int MAX_PAYLOAD_BYTES =
            FrameCodec.MAX_FRAME_BYTES - FrameCodec.SIGNATURE_BYTES;

    /**
     * The time for which a connection that ends waits until the peer has read all messages, in
     * milliseconds; less than the time that a gateway has to stop beyond its requests.
     */
    private static final long FINISH_MILLIS = 300;

    /** The maximum size of a frame's length prefix in bytes. */
    private static final int MAX_LENGTH_BYTES = 5;

    private final NioReactor reactor;

    private final String name;

    private final String address;

    /** The secret shared by all peers. */
    private final String key;

    /** The source of jitter. */
    private final Random random;

    private final PeerTraffic traffic;

    private final PeerListener listener;

    /** Encoded messages that have not been framed yet. */
    private final OutputBuffer pending = new OutputBuffer();

    /** The messages before the pending ones that would make a frame too large with those. */
    private final Deque<byte[]> fullPayloads = new ArrayDeque<>();

    /** The size of those messages in bytes. */
    private int fullPayloadBytes;

    /** The size of the messages of the frame that is being written. */
    private int writingBytes;

    /** Completes when a connection that ends has closed, or {@code null} before. */
    private SettablePromise<Void> finished;

    /** The connection that was opened last, or {@code null} once it has ended. */
    private TcpSocket connected;

    /** The open connection, or {@code null} if there is none. */
    private TcpSocket socket;

    /** Reports what fails at the open connection; valid while {@link #codec} is set. */
    private StepGuard guard;

    /** Encodes messages; valid while {@link #codec} is set. */
    private MessageWriter messageWriter;

    /** Signs frames; {@code null} until the peer has sent the nonce of an open connection. */
    private FrameCodec codec;

    /** The time at which the last bytes were received, in milliseconds. */
    private long lastReadMillis;

    /** The read timeout of the open connection, or {@code null} if there is none. */
    private ResponseTimeout readTimeout;

    /** Set while a flush is queued in the event loop. */
    private boolean flushScheduled;

    /** Set while a frame is being written. */
    private boolean writing;

    /** The next attempt to open, or {@code null} if none is scheduled. */
    private ScheduledRunnable retry;

    /** Set if the peer's machine refused the last attempt to connect. */
    private boolean refused;

    /** Set once closed by {@link #close}, so that it doesn't reconnect. */
    private boolean closed;

    /** The mean delay before the next reconnect, in milliseconds. */
    private long delayMillis = INITIAL_DELAY_MILLIS;

    /**
     * Creates a connection that is not open.
     *
     * @param reactor The event loop.
     * @param name The peer's name.
     * @param address The peer's address.
     * @param key The secret shared by all peers.
     * @param random The source of jitter.
     * @param traffic Counts traffic.
     * @param listener Receives notice of each established connection.
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

    /** {@return the peer's address} */
    String address() {
        return address;
    }

    /** {@return {@code true} if messages can be sent} */
    boolean established() {
        return codec != null;
    }

    /** {@return {@code true} if the peer's machine can be reached but no process listens there} */
    boolean refused() {
        return refused;
    }

    /** {@return the bytes of messages that wait to be framed} */
    int pendingBytes() {
        return fullPayloadBytes + pending.size();
    }

    /** {@return the bytes of messages that are not written yet} */
    int unwrittenBytes() {
        return pendingBytes() + writingBytes;
    }

    /** Connects, and reconnects after a failure until {@link #close} is called. */
    void open() {
        TcpConnector.connect(
                        reactor,
                        IpAddress.of(address),
                        CONNECT_TIMEOUT_MILLIS,
                        SocketSettings.create())
                .whenResult(this::onConnected)
                .whenException(this::onConnectFailed);
    }

    private void onConnectFailed(Exception failure) {
        refused = failure instanceof ConnectException;
        retryLater();
    }

    /** Connects at once instead of after the delay, if the connection waits for one. */
    void openNow() {
        if (retry != null) {
            retry.cancel();
            retry = null;
            open();
        }
    }

    /** Closes the connection and stops reconnecting. */
    void close() {
        closed = true;
        if (socket != null) {
            socket.close();
        }
    }

    /**
     * Writes all messages, closes the connection once the peer has read them or after a while, and
     * stops reconnecting.
     *
     * @return Completes when the connection is closed.
     */
    Promise<Void> finish() {
        closed = true;
        if (codec == null) {
            close();
            return Promise.complete();
        }
        finished = new SettablePromise<>();
        reactor.delayBackground(FINISH_MILLIS, this::endFinish);
        flush();
        endOutput();
        return finished;
    }

    /** Ends the output of a connection that ends, once all is written. */
    private void endOutput() {
        if (finished == null || codec == null || unwrittenBytes() > 0) {
            return;
        }
        try {
            // A close would discard what the peer has not read yet if a keep-alive is unread here.
            socket.getSocketChannel().shutdownOutput();
        } catch (IOException exception) {
            endFinish();
        }
    }

    private void endFinish() {
        close();
        finished.trySet(null);
    }

    /**
     * Queues a message. It is dropped if the connection is not established.
     *
     * @param message The message.
     */
    void send(PeerMessage message) {
        if (codec == null) {
            return;
        }
        if (pendingBytes() > MAX_PENDING_BYTES) {
            socket.close();
            return;
        }
        byte[] encoded = messageWriter.write(message);
        if (pending.size() > 0 && pending.size() + encoded.length > MAX_PAYLOAD_BYTES) {
            fullPayloadBytes += pending.size();
            fullPayloads.add(pending.takeAll());
        }
        pending.write(encoded);
        traffic.messageSent(MessageType.of(message), encoded.length);
        if (!flushScheduled) {
            flushScheduled = true;
            reactor.postLast(this::flushLast);
        }
    }

    /**
     * Waits for the nonce, then reads keep-alives until the connection ends.
     *
     * @param opened The open connection.
     */
    private void onConnected(TcpSocket opened) {
        refused = false;
        if (closed) {
            opened.close();
            return;
        }
        connected = opened;
        guard = StepGuard.ofSocket(opened, "PeerConnection", thrown -> onDefect(opened, thrown));
        guard.run(() -> read(opened));
    }

    private void onDefect(TcpSocket failed, Throwable thrown) {
        onDisconnected(failed, new IllegalStateException("The connection failed.", thrown));
    }

    private void read(TcpSocket opened) {
        readTimeout =
                ResponseTimeout.start(
                        reactor,
                        reactor::currentTimeMillis,
                        READ_TIMEOUT_MILLIS,
                        () -> opened.closeEx(new AsyncTimeoutException("The peer is silent")));
        BinaryChannelSupplier input = BinaryChannelSupplier.of(ChannelSuppliers.ofSocket(opened));
        input.decode(ByteBufsDecoders.ofFixedSize(FrameCodec.NONCE_BYTES))
                .whenResult(nonce -> onNonceReceived(opened, nonce.asArray()))
                .then(
                        () ->
                                input.decodeStream(ByteBufsDecoders.ofFixedSize(1))
                                        .streamTo(keepAliveConsumer()))
                .whenComplete((ignored, failure) -> onDisconnected(opened, failure));
    }

    /**
     * Returns a consumer that discards keep-alives, which serve only to reset the read timeout.
     *
     * @return The consumer.
     */
    private ChannelConsumer<ByteBuf> keepAliveConsumer() {
        return ChannelConsumers.ofConsumer(
                bytes -> {
                    bytes.recycle();
                    bytesReceived();
                });
    }

    private void bytesReceived() {
        lastReadMillis = reactor.currentTimeMillis();
        readTimeout.restart();
    }

    private void onNonceReceived(TcpSocket opened, byte[] nonce) {
        socket = opened;
        bytesReceived();
        codec = new FrameCodec(key, nonce);
        messageWriter = new MessageWriter();
        delayMillis = INITIAL_DELAY_MILLIS;
        listener.peerConnected(name);
    }

    /**
     * Discards a failed connection with its buffered messages and schedules a reconnect.
     *
     * @param broken The failed connection.
     * @param failure The cause, or {@code null} if the peer closed the connection.
     */
    private void onDisconnected(TcpSocket broken, Exception failure) {
        if (connected != broken) {
            return;
        }
        connected = null;
        boolean wasEstablished = established();
        socket = null;
        codec = null;
        writing = false;
        writingBytes = 0;
        if (readTimeout != null) {
            readTimeout.cancel();
        }
        try {
            broken.close();
            pending.takeAll();
            fullPayloads.clear();
            fullPayloadBytes = 0;
        } finally {
            retryLater();
        }
        if (finished != null) {
            finished.trySet(null);
        } else if (wasEstablished) {
            if (!closed) {
                logDisconnected(failure);
            }
            listener.peerDisconnected(name);
        }
    }

    private void logDisconnected(Exception failure) {
        LOGGER.info(
                LogEvent.of("peer-disconnected")
                        .with("peer", name)
                        .with("reason", failure == null ? "closed" : failure.toString())
                        .with("silentMillis", reactor.currentTimeMillis() - lastReadMillis)
                        .message());
    }

    /** Opens a connection, or schedules that once more if not even the attempt can be made. */
    private void openAgain() {
        StepGuard.of("PeerConnection", Optional::empty, thrown -> retryLater()).run(this::open);
    }

    private void retryLater() {
        if (!closed) {
            long jittered = delayMillis / 2 + random.nextLong(delayMillis);
            delayMillis = Math.min(MAX_DELAY_MILLIS, delayMillis * 2);
            retry =
                    reactor.delayBackground(
                            jittered,
                            () -> {
                                retry = null;
                                openAgain();
                            });
        }
    }

    /**
     * Runs after all other tasks of an iteration of the event loop, so that one frame carries all
     * messages sent in it.
     */
    private void flushLast() {
        flushScheduled = false;
        flush();
    }

    /** Writes all buffered messages now, unless a frame is already being written. */
    void flush() {
        if (codec != null) {
            guard.run(this::write);
        }
    }

    /** Writes all buffered messages in one frame, unless a frame is already being written. */
    private void write() {
        if (writing || codec == null || pendingBytes() == 0) {
            return;
        }
        TcpSocket current = socket;
        byte[] frame = codec.sign(nextPayload());
        ByteBuf buffer = ByteBufPool.allocate(frame.length + MAX_LENGTH_BYTES);
        buffer.writeVarInt(frame.length);
        buffer.write(frame);
        traffic.frameOverheadSent(
                buffer.readRemaining() - frame.length + FrameCodec.SIGNATURE_BYTES);
        writing = true;
        writingBytes = frame.length;
        current.write(buffer)
                .whenResult(
                        () -> {
                            if (current == socket) {
                                writing = false;
                                writingBytes = 0;
                                flush();
                                endOutput();
                            }
                        })
                .whenException(exception -> current.close());
    }

    private byte[] nextPayload() {
        byte[] full = fullPayloads.poll();
        if (full == null) {
            return pending.takeAll();
        }
        fullPayloadBytes -= full.length;
        return full;
    }
}
