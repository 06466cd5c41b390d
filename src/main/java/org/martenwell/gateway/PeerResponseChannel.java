package org.martenwell.gateway;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.martenwell.exchange.CloseReason;
import org.martenwell.exchange.ResponseChannel;
import org.martenwell.exchange.ResponseFraming;
import org.martenwell.peer.ResponsePart;
import org.martenwell.peer.ResponsePartKind;

/**
 * The way of a response to a caller at another gateway. What it may send ahead of the caller is
 * limited; the rest waits here.
 */
final class PeerResponseChannel implements ResponseChannel {

    /** The most bytes of a body that are sent before the other gateway has written them. */
    static final long WINDOW_BYTES = 1 << 18;

    /** The largest body of a part, in bytes. */
    static final int PIECE_BYTES = 1 << 15;

    private static final int FAILURE_STATUS = 500;

    private final long id;

    private final GatewayCore core;

    private final ResponseOutbox outbox;

    /** Called once the channel has sent or discarded everything. */
    private final Runnable onClosed;

    /** The parts that wait for the other gateway to write earlier ones. */
    private final Deque<ResponsePart> waiting = new ArrayDeque<>();

    private long waitingBytes;

    /** The bytes of the waiting parts that are reserved in memory. */
    private int reservedBytes;

    private long sentBytes;

    private long acknowledgedBytes;

    /** Set once a head was sent. */
    private boolean begun;

    /** Set once a piece of the body was sent. */
    private boolean bodyBegun;

    /** Set once the response is complete, aborted or no longer wanted. */
    private boolean finished;

    /** Set once the response is finished and all of it sent or discarded. */
    private boolean closed;

    /**
     * Creates the channel of a request that has arrived.
     *
     * @param id The number of the request.
     * @param core The state that all requests share.
     * @param outbox Sends the parts.
     * @param onClosed Called once the channel has sent or discarded everything.
     */
    PeerResponseChannel(long id, GatewayCore core, ResponseOutbox outbox, Runnable onClosed) {
        this.id = id;
        this.core = core;
        this.outbox = outbox;
        this.onClosed = onClosed;
    }

    @Override
    public void respond(int status, HttpHeaders headers, byte[] content, boolean keepAlive) {
        if (finished) {
            return;
        }
        if (content.length <= PIECE_BYTES) {
            finish(
                    new ResponsePart(
                            id,
                            ResponsePartKind.WHOLE,
                            status,
                            HeaderFields.of(headers),
                            ByteBuffer.wrap(content)));
        } else if (!core.responseMemory().reserve(0, content.length)) {
            abort(CloseReason.RESPONSE_ABORTED);
        } else {
            reservedBytes = content.length;
            begun = true;
            add(
                    ResponsePart.head(
                            id, ResponsePartKind.LENGTH_HEAD, status, HeaderFields.of(headers)));
            addBody(content);
            finish(ResponsePart.of(id, ResponsePartKind.END));
        }
    }

    @Override
    public void begin(int status, HttpHeaders headers, ResponseFraming framing, boolean keepAlive) {
        if (finished) {
            return;
        }
        begun = true;
        ResponsePartKind kind =
                framing.showsTruncation()
                        ? ResponsePartKind.CHUNKED_HEAD
                        : ResponsePartKind.CLOSE_DELIMITED_HEAD;
        add(ResponsePart.head(id, kind, status, HeaderFields.of(headers)));
        sendWaiting();
    }

    @Override
    public void write(byte[] piece) {
        if (!finished) {
            addBody(piece);
            sendWaiting();
        }
    }

    @Override
    public void end(boolean keepAlive) {
        if (!finished) {
            finish(ResponsePart.of(id, ResponsePartKind.END));
        }
    }

    @Override
    public void responseFailed() {
        if (begun) {
            abort(CloseReason.DEFECT);
        } else {
            HttpHeaders none = DefaultHttpHeadersFactory.headersFactory().newHeaders();
            respond(FAILURE_STATUS, none, new byte[0], false);
        }
    }

    @Override
    public void abort(CloseReason reason) {
        if (!finished) {
            discardWaiting();
            finish(ResponsePart.of(id, ResponsePartKind.BROKEN));
        }
    }

    @Override
    public int unwrittenBytes() {
        return (int) (waitingBytes + sentBytes - acknowledgedBytes);
    }

    @Override
    public void requestSent(int attempts) {
        if (attempts > 1 && !finished) {
            outbox.add(ResponsePart.of(id, ResponsePartKind.SENT_AGAIN, attempts), true, () -> {});
        }
    }

    /**
     * Processes the progress of the caller.
     *
     * @param bytes The bytes of the body that were written to it so far.
     */
    void acknowledged(long bytes) {
        acknowledgedBytes = Math.max(acknowledgedBytes, Math.min(bytes, sentBytes));
        sendWaiting();
    }

    /** Discards what has not been sent, because nobody reads it. */
    void cancel() {
        discardWaiting();
        if (finished) {
            close();
        } else {
            // The exchange ends behind this and sends nothing more.
            finished = true;
            closed = true;
            onClosed.run();
        }
    }

    private void addBody(byte[] content) {
        for (int from = 0; from < content.length; from += PIECE_BYTES) {
            int length = Math.min(PIECE_BYTES, content.length - from);
            add(ResponsePart.body(id, ByteBuffer.wrap(content, from, length).slice()));
        }
    }

    private void add(ResponsePart part) {
        waiting.add(part);
        waitingBytes += part.bodyBytes();
    }

    /** Adds the last part. The request counts as in progress here until it is sent. */
    private void finish(ResponsePart last) {
        finished = true;
        core.beginRequest();
        add(last);
        sendWaiting();
    }

    private void sendWaiting() {
        while (!waiting.isEmpty() && fitsWindow(waiting.peek())) {
            send(waiting.poll());
        }
    }

    private boolean fitsWindow(ResponsePart part) {
        boolean limited = part.kind() == ResponsePartKind.BODY;
        return !limited || sentBytes - acknowledgedBytes + part.bodyBytes() <= WINDOW_BYTES;
    }

    private void send(ResponsePart part) {
        waitingBytes -= part.bodyBytes();
        boolean body = part.kind() == ResponsePartKind.BODY;
        boolean last = finished && waiting.isEmpty();
        boolean urgent = last || (body && !bodyBegun);
        if (body) {
            bodyBegun = true;
            sentBytes += part.bodyBytes();
        }
        if (last) {
            release();
        }
        outbox.add(part, urgent, last ? this::close : () -> {});
    }

    private void close() {
        if (!closed) {
            closed = true;
            core.endRequest();
            onClosed.run();
        }
    }

    private void discardWaiting() {
        waiting.clear();
        waitingBytes = 0;
        release();
    }

    private void release() {
        core.responseMemory().release(reservedBytes);
        reservedBytes = 0;
    }
}
