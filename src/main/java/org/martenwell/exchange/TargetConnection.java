package org.martenwell.exchange;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.nio.NioReactor;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.martenwell.service.StepGuard;

/**
 * A connection to a target that carries one request at a time. It closes on bytes that belong to no
 * request. A truncated response is reported as failed if its framing shows it.
 */
public final class TargetConnection {

    /** The most interim responses, and responses to other requests, before that to a request. */
    private static final int MAX_DISCARDED_RESPONSES = 16;

    /** The most body bytes of these responses. */
    private static final int MAX_DISCARDED_BYTES = 1 << 20;

    private final NioReactor reactor;

    private final TcpSocket socket;

    private final ResponseHeadListener headListener;

    private final Runnable closeListener;

    private final StepGuard guard;

    private final ResponseDecoder decoder = new ResponseDecoder();

    private final EmbeddedChannel codec = CodecChannels.forTarget(decoder);

    /** The listener of the current request, or {@code null} if there is none. */
    private ResponseListener listener;

    /** The listener of the response that has just ended, while it is called, or {@code null}. */
    private ResponseListener completing;

    /** The method of the current or last request. */
    private HttpMethod method = HttpMethod.GET;

    /** The head of the response being received, or {@code null}. */
    private HttpResponse head;

    /** Finds the end of a close-delimited body, {@code null} for other bodies. */
    private FurtherResponseFilter filter;

    /** Set while the response being received is interim or belongs to another request. */
    private boolean discarding;

    /** The interim responses and those to other requests since the request was sent. */
    private int discardedResponses;

    /** The body bytes of these responses. */
    private int discardedBytes;

    /** Cleared once the connection can't carry another request. */
    private boolean reusable = true;

    private boolean closed;

    private boolean reading;

    /** Set while the consumer applies back-pressure. */
    private boolean paused;

    /** The end of the idle time, on the event loop's clock. */
    private long usableUntilMillis = Long.MAX_VALUE;

    private final ConnectionHistory history = new ConnectionHistory();

    /** Request bytes handed to the socket whose write hasn't completed. */
    private int unwrittenBytes;

    /**
     * Creates a connection and starts reading.
     *
     * @param reactor The event loop.
     * @param socket The connected socket.
     * @param headListener Receives the head of each response.
     * @param closeListener Called once, when the connection closes.
     */
    TargetConnection(
            NioReactor reactor,
            TcpSocket socket,
            ResponseHeadListener headListener,
            Runnable closeListener) {
        this.reactor = reactor;
        this.socket = socket;
        this.headListener = headListener;
        this.closeListener = closeListener;
        this.guard = StepGuard.ofSocket(socket, "TargetConnection", this::stepFailed);
        guard.run(this::read);
    }

    /** {@return {@code true} if a request can be sent now} */
    boolean usable() {
        return !closed
                && reusable
                && !history.full()
                && listener == null
                && unwrittenBytes == 0
                && reactor.currentTimeMillis() < usableUntilMillis;
    }

    /** {@return the requests that were sent on the connection} */
    public ConnectionHistory history() {
        return history;
    }

    /**
     * Sets the time after which the idle connection must not be used.
     *
     * @param untilMillis The time on the event loop's clock, in milliseconds.
     */
    void setUsableUntil(long untilMillis) {
        usableUntilMillis = untilMillis;
    }

    /**
     * Sends a request. The connection must be usable.
     *
     * @param request The request, whose {@code Content-Length} header is set here.
     * @param responseListener Receives the response.
     */
    public void send(OutboundRequest request, ResponseListener responseListener) {
        history.add(request.method(), responseListener.requestId());
        listener = responseListener;
        guard.run(() -> write(request));
    }

    private void write(OutboundRequest request) {
        head = null;
        discarding = false;
        discardedResponses = 0;
        discardedBytes = 0;
        method = request.method();
        decoder.expect(method);
        if (request.body().length() > 0 || !request.method().equals(HttpMethod.GET)) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length());
        }
        DefaultFullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        request.method(),
                        request.target(),
                        Unpooled.wrappedBuffer(request.body().bytes()),
                        request.headers(),
                        DefaultHttpHeadersFactory.trailersFactory().newHeaders());
        ByteBuf bytes = CodecChannels.encode(codec, message);
        int length = bytes.readRemaining();
        unwrittenBytes += length;
        socket.write(bytes)
                .subscribe(
                        (ignored, failure) -> {
                            unwrittenBytes -= length;
                            if (failure != null) {
                                guard.run(() -> disconnected(false));
                            }
                        });
    }

    /**
     * Stops reading until {@link #resume}, so that TCP flow control slows the target down. A read
     * in progress still completes.
     */
    public void pause() {
        paused = true;
    }

    /** Continues reading after {@link #pause}. */
    public void resume() {
        if (paused) {
            paused = false;
            guard.run(this::read);
        }
    }

    /**
     * Closes the connection without notifying the listener; the target sees the disconnect and can
     * stop its work. With a request in progress the connection is reset at the event loop's next
     * turn; until then the system may deliver what it has buffered.
     */
    public void cancel() {
        if (listener != null) {
            listener = null;
            if (!closed) {
                // The system would otherwise deliver a buffered request to the target seconds
                // later.
                AbortiveClose.set(socket, true);
            }
        }
        close();
    }

    private void read() {
        if (closed || paused || reading) {
            return;
        }
        reading = true;
        socket.read()
                .subscribe(
                        (bytes, failure) -> {
                            reading = false;
                            guard.run(() -> processRead(bytes, failure));
                        });
    }

    private void processRead(ByteBuf bytes, Exception failure) {
        if (failure != null) {
            disconnected(false);
        } else if (bytes == null) {
            disconnected(true);
        } else {
            processBytes(bytes);
        }
    }

    private void processBytes(ByteBuf bytes) {
        if (closed) {
            bytes.recycle();
            return;
        }
        reusable = reusable && listener != null;
        CodecChannels.decode(codec, bytes);
        processDecoded();
        read();
    }

    /** Processes decoded parts. Parts without a pending request make the connection unusable. */
    private void processDecoded() {
        for (HttpObject each = codec.readInbound(); each != null; each = codec.readInbound()) {
            try {
                if (listener == null) {
                    reusable = false;
                    reportUnrequested(each);
                } else {
                    processPart(each);
                }
            } finally {
                ReferenceCountUtil.release(each);
            }
        }
        if (!reusable && listener == null) {
            close();
        }
    }

    private void reportUnrequested(HttpObject part) {
        if (part instanceof HttpResponse late && !late.decoderResult().isFailure()) {
            headListener.headReceived(late);
            headListener.unrequested(late);
        }
    }

    private void processPart(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            fail(head == null ? ResponseFailure.MALFORMED : ResponseFailure.BROKEN_OFF);
            return;
        }
        if (part instanceof HttpResponse responseHead) {
            beginResponse(responseHead);
        }
        if (part instanceof HttpContent content && head != null && listener != null) {
            processContent(content);
        }
    }

    private void beginResponse(HttpResponse responseHead) {
        head = responseHead;
        headListener.headReceived(responseHead);
        discarding = false;
        if (responseHead.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            discard();
            return;
        }
        if (!framingOf(responseHead).decodable(responseHead)) {
            fail(ResponseFailure.MALFORMED);
            return;
        }
        ResponseMatch match = listener.match(responseHead);
        reusable = reusable && match.reusable();
        if (!match.accepted(history.requests())) {
            listener.discarded(responseHead, match);
            if (framingOf(responseHead).showsTruncation()) {
                discard();
            } else {
                // The response that is awaited could not be told from the body of this one.
                fail(ResponseFailure.MALFORMED);
            }
            return;
        }
        reusable =
                reusable
                        && HttpUtil.isKeepAlive(responseHead)
                        && framingOf(responseHead).showsTruncation();
        filter =
                framingOf(responseHead).showsTruncation()
                        ? null
                        : new FurtherResponseFilter(listener::recognises);
        listener.headReceived(responseHead);
    }

    /** Skips the response that has just begun. */
    private void discard() {
        discarding = true;
        discardedResponses++;
        failAboveLimit(discardedResponses, MAX_DISCARDED_RESPONSES);
    }

    private void failAboveLimit(int count, int limit) {
        if (count > limit) {
            fail(ResponseFailure.TOO_LARGE);
        }
    }

    private ResponseFraming framingOf(HttpResponse responseHead) {
        return ResponseFraming.of(method, responseHead);
    }

    private void processContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        int length = content.content().readableBytes();
        if (discarding) {
            discardedBytes += length;
            failAboveLimit(discardedBytes, MAX_DISCARDED_BYTES);
        } else {
            byte[] piece = new byte[length];
            content.content().getBytes(content.content().readerIndex(), piece);
            last |= processPiece(piece, last);
        }
        if (last) {
            endResponse();
        }
    }

    /**
     * Hands a piece of the body to the listener.
     *
     * @return {@code true} if another response follows the body.
     */
    private boolean processPiece(byte[] piece, boolean last) {
        byte[] body = filter == null ? piece : filter.receive(piece);
        notifyBodyPart(body);
        if (filter == null) {
            return false;
        }
        if (last) {
            notifyBodyPart(filter.rest());
        }
        return filter.found();
    }

    private void notifyBodyPart(byte[] piece) {
        if (piece.length > 0 && listener != null) {
            listener.bodyPartReceived(piece);
        }
    }

    /**
     * Ends a close-delimited response with what has arrived, as if the target had closed the
     * connection.
     */
    public void endCloseDelimited() {
        guard.run(
                () -> {
                    reusable = false;
                    notifyBodyPart(filter.rest());
                    endResponse();
                });
    }

    private void endResponse() {
        boolean matching = !discarding && head != null;
        ResponseFraming framing = matching ? framingOf(head) : ResponseFraming.NO_BODY;
        head = null;
        discarding = false;
        paused = false;
        if (matching && listener != null) {
            ResponseListener done = listener;
            listener = null;
            completing = done;
            discardRemainder();
            reusable = reusable && unwrittenBytes == 0;
            done.completed(framing);
            completing = null;
        }
    }

    /**
     * Discards what has arrived behind the response, before the connection is given another
     * request, whose response it would be taken for.
     */
    private void discardRemainder() {
        reusable = reusable && !decoder.withinResponse();
        for (HttpObject each = codec.readInbound(); each != null; each = codec.readInbound()) {
            try {
                reusable = false;
                reportUnrequested(each);
            } finally {
                ReferenceCountUtil.release(each);
            }
        }
    }

    /**
     * Handles the end of the connection. An orderly close ends a close-delimited response.
     *
     * @param orderly {@code true} if the target closed the connection, {@code false} for a socket
     *     error.
     */
    private void disconnected(boolean orderly) {
        if (closed) {
            return;
        }
        if (orderly && listener != null && head != null && !framingOf(head).showsTruncation()) {
            codec.finish();
            processDecoded();
        }
        if (listener != null) {
            fail(head == null ? ResponseFailure.NO_ANSWER : ResponseFailure.BROKEN_OFF);
        }
        close();
    }

    /**
     * Closes the connection and fails the current request.
     *
     * @param failure The reason.
     */
    private void fail(ResponseFailure failure) {
        ResponseListener failed = listener;
        listener = null;
        reusable = false;
        try {
            close();
        } finally {
            failed.failed(failure);
        }
    }

    /** Closes the connection and fails the requests whose responses were being processed. */
    private void stepFailed(Throwable thrown) {
        ResponseListener waiting = listener;
        ResponseListener interrupted = completing;
        listener = null;
        completing = null;
        try {
            close();
        } finally {
            try {
                notifyFailed(waiting);
            } finally {
                notifyFailed(interrupted);
            }
        }
    }

    private static void notifyFailed(ResponseListener failed) {
        if (failed != null) {
            failed.failed(ResponseFailure.DEFECT);
        }
    }

    private void close() {
        if (!closed) {
            closed = true;
            reusable = false;
            try {
                socket.close();
                codec.finishAndReleaseAll();
            } finally {
                closeListener.run();
            }
        }
    }
}
