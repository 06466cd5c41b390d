package org.martenwell.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayDeque;
import java.util.Deque;
import org.martenwell.exchange.TargetConnection;

/**
 * The body of a response that arrives on a connection. Reading pauses while more is kept than
 * {@link #MAX_KEPT_BYTES}, so that TCP flow control slows the server down.
 */
final class ReceivedBody extends AbstractChannelSupplier<ByteBuf> {

    /** The bytes that wait for the reader above which reading from the connection pauses. */
    private static final int MAX_KEPT_BYTES = 262_144;

    private final TargetConnection connection;

    /** Called once if the body is closed before it has ended. */
    private final Runnable closeListener;

    private final Deque<byte[]> kept = new ArrayDeque<>();

    private int keptBytes;

    /** Set once all of the body has arrived. */
    private boolean complete;

    /** The reason for which no more will arrive, or {@code null}. */
    private Exception failure;

    /** The reader that waits, or {@code null} if there is none. */
    private SettablePromise<ByteBuf> reader;

    /**
     * Creates a body of which nothing has arrived.
     *
     * @param connection The connection, which is closed with the body.
     * @param closeListener Called once if the body is closed before it has ended.
     */
    ReceivedBody(TargetConnection connection, Runnable closeListener) {
        this.connection = connection;
        this.closeListener = closeListener;
    }

    /**
     * Adds a piece.
     *
     * @param piece The bytes, owned by this body.
     */
    void receive(byte[] piece) {
        if (reader != null) {
            takeReader().set(ByteBuf.wrapForReading(piece));
            return;
        }
        kept.add(piece);
        keptBytes += piece.length;
        if (keptBytes > MAX_KEPT_BYTES) {
            connection.pause();
        }
    }

    /** Ends the body. */
    void end() {
        complete = true;
        if (reader != null) {
            takeReader().set(null);
        }
    }

    /**
     * Ends the body as incomplete. What has arrived can still be read.
     *
     * @param reason The reason.
     */
    void fail(Exception reason) {
        failure = reason;
        if (kept.isEmpty()) {
            closeEx(reason);
        }
    }

    @Override
    protected Promise<ByteBuf> doGet() {
        byte[] piece = kept.poll();
        if (piece != null) {
            keptBytes -= piece.length;
            if (keptBytes <= MAX_KEPT_BYTES / 2) {
                connection.resume();
            }
            return Promise.of(ByteBuf.wrapForReading(piece));
        }
        if (failure != null) {
            closeEx(failure);
            return Promise.ofException(failure);
        }
        if (complete) {
            return Promise.of(null);
        }
        reader = new SettablePromise<>();
        return reader;
    }

    @Override
    protected void onClosed(Exception reason) {
        kept.clear();
        if (!complete) {
            connection.cancel();
            closeListener.run();
        }
        if (reader != null) {
            takeReader().setException(reason);
        }
    }

    private SettablePromise<ByteBuf> takeReader() {
        SettablePromise<ByteBuf> taken = reader;
        reader = null;
        return taken;
    }
}
