package org.martenwell.exchange;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.nio.NioReactor;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * A connection from a caller. It serves one request at a time but keeps reading while a request is
 * served, so that a disconnect of the caller is detected immediately.
 */
final class CallerConnection {

    /**
     * The number of bytes received during a request above which reading pauses until its response
     * is sent.
     */
    private static final int MAX_PIPELINED_BYTES = 65_536;

    /**
     * The time after which a connection in graceful close is closed even if the caller hasn't
     * closed it.
     */
    private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

    /** The interim response to a request with {@code Expect: 100-continue}. */
    private static final byte[] CONTINUE_RESPONSE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final NioReactor reactor;

    private final ITcpSocket socket;

    private final CallerServer server;

    private final EmbeddedChannel codec;

    private final RequestDecoder decoder;

    /** The exchange being served, or {@code null}. */
    private CallerExchange exchange;

    /**
     * The arrival of the current request's first byte or, while idle, the end of the last request.
     */
    private long stateSinceMillis;

    /** The time for which the event loop had been late when the state began, in milliseconds. */
    private long lateBeforeMillis;

    /** Set while a request has arrived in part. */
    private boolean receiving;

    private int pipelinedBytes;

    /** Response bytes handed to the socket whose write hasn't completed. */
    private int unwrittenBytes;

    /** Set once further input is discarded. */
    private boolean closing;

    private boolean closed;

    /** The reason of a graceful close that has started. */
    private CloseReason closeReason = CloseReason.RESPONSE_COMPLETE;

    /**
     * Creates a connection. No data is read before {@link #start}.
     *
     * @param reactor The event loop.
     * @param socket The accepted socket.
     * @param server The server that owns the connection and handles its requests.
     */
    CallerConnection(NioReactor reactor, ITcpSocket socket, CallerServer server) {
        this.reactor = reactor;
        this.socket = socket;
        this.server = server;
        this.codec = CodecChannels.forCaller(server.limits().maxHeaderBytes());
        this.decoder = new RequestDecoder(codec);
        stateBegan();
    }

    /** Starts reading. */
    void start() {
        server.becameIdle(this);
        read();
    }

    /** {@return the number of response bytes that are not yet written to the socket} */
    int unwrittenBytes() {
        return unwrittenBytes;
    }

    /** {@return the state} */
    ConnectionState state() {
        if (closing) {
            return ConnectionState.CLOSING;
        }
        if (exchange != null) {
            return ConnectionState.SERVING;
        }
        return receiving ? ConnectionState.RECEIVING : ConnectionState.IDLE;
    }

    /** {@return {@code true} if no request is being received or served} */
    boolean idle() {
        return exchange == null && !receiving;
    }

    /**
     * Checks for a minimum idle time.
     *
     * @param millis The time on the event loop's clock, in milliseconds.
     * @return {@code true} if the connection has been idle since this time or longer.
     */
    boolean idleSince(long millis) {
        return idle() && stateSinceMillis <= millis;
    }

    /**
     * Closes the connection if it exceeds the header timeout while it receives a request, or the
     * idle timeout between requests. A request being served has no limit here.
     *
     * @param nowMillis The current time on the event loop's clock, in milliseconds.
     */
    void closeIfTimedOut(long nowMillis) {
        if (exchange != null || closing) {
            return;
        }
        ConnectionLimits limits = server.limits();
        long allowed = receiving ? limits.headerTimeoutMillis() : limits.idleTimeoutMillis();
        if (nowMillis - stateSinceMillis > allowed) {
            abort(receiving ? CloseReason.REQUEST_TIMEOUT : CloseReason.IDLE_TIMEOUT);
        }
    }

    /**
     * Sends a complete response. The body is omitted if the request's method is {@code HEAD}.
     *
     * @param status The status code.
     * @param headers The headers, to which framing and connection headers are added.
     * @param content The body.
     * @param keepAlive {@code true} if the caller allows a persistent connection.
     */
    void respond(int status, HttpHeaders headers, byte[] content, boolean keepAlive) {
        boolean persistent = keepAlive && !server.draining();
        headers.set(HttpHeaderNames.CONTENT_LENGTH, content.length);
        setConnectionHeader(headers, persistent);
        boolean omitBody = exchange.request().method().name().equals("HEAD");
        send(
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        omitBody ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(content),
                        headers,
                        DefaultHttpHeadersFactory.trailersFactory().newHeaders()));
        finishRequest(persistent);
    }

    /**
     * Sends the head of a response of unknown length. Until a close-delimited response has ended,
     * any close resets the connection, also the one at the end of the process.
     *
     * @param status The status code.
     * @param headers The headers, whose framing and connection headers are replaced.
     * @param framing The framing of the body.
     * @param keepAlive {@code true} if the caller allows a persistent connection.
     */
    void begin(int status, HttpHeaders headers, ResponseFraming framing, boolean keepAlive) {
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
        if (framing == ResponseFraming.CHUNKED) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else if (socket instanceof TcpSocket tcp && !closed) {
            AbortiveClose.set(tcp, true);
        }
        setConnectionHeader(headers, keepAlive && framing.showsTruncation() && !server.draining());
        send(
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers));
    }

    /**
     * Sends a piece of a response.
     *
     * @param piece The non-empty piece.
     */
    void write(byte[] piece) {
        send(new DefaultHttpContent(Unpooled.wrappedBuffer(piece)));
    }

    /**
     * Ends a response, with its last chunk if it has chunks.
     *
     * @param keepAlive {@code true} if the connection can carry another response.
     */
    void end(boolean keepAlive) {
        send(LastHttpContent.EMPTY_LAST_CONTENT);
        finishRequest(keepAlive && !server.draining());
    }

    /**
     * Closes the connection at once, without a complete response and without notifying the
     * exchange.
     *
     * @param reason The reason.
     */
    void abort(CloseReason reason) {
        ConnectionState state = state();
        exchange = null;
        close(reason, state);
    }

    private static void setConnectionHeader(HttpHeaders headers, boolean persistent) {
        headers.remove(HttpHeaderNames.CONNECTION);
        if (!persistent) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void read() {
        socket.read()
                .subscribe(
                        (bytes, failure) -> {
                            if (failure != null || bytes == null) {
                                disconnected();
                            } else {
                                processBytes(bytes);
                            }
                        });
    }

    private void processBytes(ByteBuf bytes) {
        if (closing) {
            bytes.recycle();
            continueReading();
            return;
        }
        if (idle()) {
            receiving = true;
            stateBegan();
            server.becameActive(this);
        }
        if (exchange != null) {
            pipelinedBytes += bytes.readRemaining();
        } else if (decoder.containsFold(bytes)) {
            bytes.recycle();
            rejectRequest(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        decoder.decode(bytes);
        processDecodedParts();
        continueReading();
    }

    /** Reads on unless the limit of pipelined bytes is exceeded. */
    private void continueReading() {
        if (!closed && pipelinedBytes <= MAX_PIPELINED_BYTES) {
            read();
        }
    }

    /** Processes decoded parts until a request is complete and handed to the server. */
    private void processDecodedParts() {
        boolean more = true;
        while (more && exchange == null && !closing) {
            switch (decoder.next(server.limits().maxBodyBytes())) {
                case NONE -> more = false;
                case BEGUN -> requestBegan();
                case CONTINUED -> {}
                case COMPLETE -> requestComplete();
                case REJECTED -> rejectRequest(decoder.rejection());
            }
        }
    }

    private void requestBegan() {
        receiving = true;
        server.becameActive(this);
        if (HttpUtil.is100ContinueExpected(decoder.head())) {
            writeBytes(ByteBuf.wrapForReading(CONTINUE_RESPONSE.clone()));
        }
    }

    private void requestComplete() {
        HttpRequest head = decoder.head();
        CallerRequest request =
                new CallerRequest(
                        head.method(),
                        head.uri(),
                        head.headers(),
                        decoder.takeBody(),
                        stateSinceMillis);
        exchange =
                new CallerExchange(
                        this,
                        request,
                        HttpUtil.isKeepAlive(head),
                        head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0);
        receiving = false;
        if (inputEnded()) {
            abort(CloseReason.CALLER_LEFT);
        } else {
            server.handle(exchange);
        }
    }

    /**
     * Checks whether the caller has closed the connection behind its request, which a loaded event
     * loop may read long after it was sent. A byte of a further request is decoded.
     *
     * @return {@code true} if no response can reach the caller.
     */
    private boolean inputEnded() {
        if (!(socket instanceof TcpSocket tcp)) {
            return false;
        }
        ByteBuffer next = ByteBuffer.allocate(1);
        try {
            int count = tcp.getSocketChannel().read(next);
            if (count > 0) {
                pipelinedBytes += count;
                decoder.decode(ByteBuf.wrapForReading(next.array()));
            }
            return count < 0;
        } catch (IOException exception) {
            return true;
        }
    }

    /**
     * Responds to a request that can't be processed and closes the connection, since the position
     * of the next request is unknown.
     *
     * @param status The status of the empty response.
     */
    private void rejectRequest(HttpResponseStatus status) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        headers.set(HttpHeaderNames.CONTENT_LENGTH, 0);
        setConnectionHeader(headers, false);
        closeReason = CloseReason.BAD_REQUEST;
        send(
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        status,
                        Unpooled.EMPTY_BUFFER,
                        headers,
                        DefaultHttpHeadersFactory.trailersFactory().newHeaders()));
        finishRequest(false);
        continueReading();
    }

    /**
     * Prepares for the next request after a response, or starts a graceful close.
     *
     * @param persistent {@code true} if the connection stays open.
     */
    private void finishRequest(boolean persistent) {
        exchange = null;
        receiving = false;
        stateBegan();
        if (!persistent) {
            closeGracefully();
            return;
        }
        server.becameIdle(this);
        boolean paused = pipelinedBytes > MAX_PIPELINED_BYTES;
        pipelinedBytes = 0;
        if (decoder.hasParts()) {
            reactor.postLast(this::processDecodedParts);
        }
        if (paused) {
            read();
        }
    }

    private void send(Object message) {
        writeBytes(CodecChannels.encode(codec, message));
    }

    private void writeBytes(ByteBuf bytes) {
        if (closed || !bytes.canRead()) {
            bytes.recycle();
            return;
        }
        int length = bytes.readRemaining();
        unwrittenBytes += length;
        socket.write(bytes)
                .subscribe(
                        (ignored, failure) -> {
                            unwrittenBytes -= length;
                            if (failure != null) {
                                disconnected();
                            } else if (closing && unwrittenBytes == 0) {
                                closeOutput();
                            }
                        });
    }

    /**
     * Half-closes the connection after pending writes and discards input, so that the caller can
     * read the last response without a reset. A caller that reads slowly gets the idle time to take
     * what is left.
     */
    private void closeGracefully() {
        closing = true;
        if (unwrittenBytes == 0) {
            closeOutput();
        } else {
            reactor.delayBackground(
                    Math.max(CLOSE_TIMEOUT_MILLIS, server.limits().idleTimeoutMillis()),
                    this::closeSlowCaller);
        }
    }

    private void closeSlowCaller() {
        close(unwrittenBytes > 0 ? CloseReason.SLOW_CALLER : closeReason, ConnectionState.CLOSING);
    }

    private void closeOutput() {
        if (closed) {
            return;
        }
        reactor.delayBackground(
                CLOSE_TIMEOUT_MILLIS, () -> close(closeReason, ConnectionState.CLOSING));
        if (socket instanceof TcpSocket tcp) {
            try {
                AbortiveClose.set(tcp, false);
                tcp.getSocketChannel().shutdownOutput();
            } catch (IOException exception) {
                close(CloseReason.CALLER_LEFT, ConnectionState.CLOSING);
            }
        }
    }

    /** Handles the end of input or a socket failure, and notifies the exchange being served. */
    private void disconnected() {
        CallerExchange abandoned = exchange;
        ConnectionState state = state();
        exchange = null;
        close(closing && unwrittenBytes == 0 ? closeReason : CloseReason.CALLER_LEFT, state);
        if (abandoned != null) {
            abandoned.callerDisconnected();
        }
    }

    private void close(CloseReason reason, ConnectionState state) {
        if (!closed) {
            ClosedConnection connection =
                    new ClosedConnection(
                            reason,
                            state,
                            reactor.currentTimeMillis() - stateSinceMillis,
                            server.clock().omittedMillis() - lateBeforeMillis,
                            unreadBytes(),
                            unwrittenBytes,
                            server.limits());
            closed = true;
            closing = true;
            decoder.release();
            socket.close();
            codec.finishAndReleaseAll();
            server.closed(this, connection);
        }
    }

    private int unreadBytes() {
        if (!(socket instanceof TcpSocket tcp) || tcp.isClosed()) {
            return 0;
        }
        try {
            return tcp.getSocketChannel().socket().getInputStream().available();
        } catch (IOException exception) {
            return 0;
        }
    }

    private void stateBegan() {
        stateSinceMillis = reactor.currentTimeMillis();
        lateBeforeMillis = server.clock().omittedMillis();
    }
}
