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
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A caller's connection. It serves one request at a time and keeps reading meanwhile, so that a
 * caller who leaves is noticed at once.
 */
final class CallerConnection {

    /** How many pipelined bytes are taken in while a request is served. */
    private static final int MAX_PIPELINED_BYTES = 65_536;

    /** How long a closing connection waits for the caller to read and close, in milliseconds. */
    private static final long LINGER_MILLIS = 1_000;

    /** The answer that lets a caller send its body. */
    private static final byte[] CONTINUE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /** The loop. */
    private final NioReactor reactor;

    /** The socket. */
    private final ITcpSocket socket;

    /** The server. */
    private final CallerServer server;

    /** Decodes requests and encodes answers. */
    private final EmbeddedChannel codec;

    /** Finds folded header lines. */
    private final FoldedLineCheck foldedLines = new FoldedLineCheck();

    /** What was decoded while a request was served. */
    private final Deque<HttpObject> waiting = new ArrayDeque<>();

    /** The body that is arriving. */
    private ByteArrayOutputStream body = new ByteArrayOutputStream();

    /** The head whose body is arriving or {@code null}. */
    private HttpRequest head;

    /** The exchange that is served or {@code null}. */
    private CallerExchange exchange;

    /** When the present request's first byte arrived or, while idle, when the last one ended. */
    private long sinceMillis;

    /** Whether bytes of a request arrived that is not whole yet. */
    private boolean receiving;

    /** How many bytes are pipelined. */
    private int pipelinedBytes;

    /** How many bytes of answers wait to be written. */
    private int unwrittenBytes;

    /** Whether nothing more is taken from the caller. */
    private boolean closing;

    /** Whether the socket is closed. */
    private boolean closed;

    /**
     * Creates a connection.
     *
     * @param reactor The loop.
     * @param socket The socket.
     * @param server The server.
     */
    CallerConnection(NioReactor reactor, ITcpSocket socket, CallerServer server) {
        this.reactor = reactor;
        this.socket = socket;
        this.server = server;
        this.codec = CodecChannels.ofCaller(server.limits().maxHeaderBytes());
        this.sinceMillis = reactor.currentTimeMillis();
    }

    /** Starts to read. */
    void start() {
        read();
    }

    /**
     * Returns how many bytes of answers wait to be written.
     *
     * @return The number of bytes.
     */
    int unwrittenBytes() {
        return unwrittenBytes;
    }

    /**
     * Returns whether no request is served or arriving.
     *
     * @return {@code true} if so.
     */
    boolean idle() {
        return exchange == null && !receiving;
    }

    /**
     * Returns whether no request has been served for some time.
     *
     * @param millis The time before which the connection must have become idle, in milliseconds.
     * @return {@code true} if it is idle and has been since then.
     */
    boolean idleSince(long millis) {
        return idle() && sinceMillis <= millis;
    }

    /**
     * Closes the connection if it exceeds its time.
     *
     * @param nowMillis The present time, in milliseconds.
     */
    void expire(long nowMillis) {
        if (exchange != null || closing) {
            return;
        }
        ConnectionLimits limits = server.limits();
        long allowed = receiving ? limits.headerTimeoutMillis() : limits.idleTimeoutMillis();
        if (nowMillis - sinceMillis > allowed) {
            abort();
        }
    }

    /**
     * Sends a whole answer.
     *
     * @param status The status.
     * @param headers The headers.
     * @param content The body.
     * @param keepAlive Whether the caller wants to go on.
     */
    void respond(int status, HttpHeaders headers, byte[] content, boolean keepAlive) {
        boolean kept = keepAlive && !server.draining();
        headers.set(HttpHeaderNames.CONTENT_LENGTH, content.length);
        setConnection(headers, kept);
        boolean bodyless = exchange.request().method().name().equals("HEAD");
        send(
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        bodyless ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(content),
                        headers,
                        DefaultHttpHeadersFactory.trailersFactory().newHeaders()));
        served(kept);
    }

    /**
     * Sends the head of an answer of unknown length.
     *
     * @param status The status.
     * @param headers The headers.
     * @param keepAlive Whether the caller wants to go on.
     */
    void begin(int status, HttpHeaders headers, boolean keepAlive) {
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        setConnection(headers, keepAlive && !server.draining());
        send(
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers));
    }

    /**
     * Sends a piece of an answer.
     *
     * @param piece The piece.
     */
    void write(byte[] piece) {
        send(new DefaultHttpContent(Unpooled.wrappedBuffer(piece)));
    }

    /**
     * Ends an answer.
     *
     * @param keepAlive Whether the caller wants to go on.
     */
    void end(boolean keepAlive) {
        send(LastHttpContent.EMPTY_LAST_CONTENT);
        served(keepAlive && !server.draining());
    }

    /** Closes the connection at once. */
    void abort() {
        exchange = null;
        close();
    }

    /**
     * Says whether the connection goes on.
     *
     * @param headers The answer's headers.
     * @param kept Whether it goes on.
     */
    private static void setConnection(HttpHeaders headers, boolean kept) {
        headers.remove(HttpHeaderNames.CONNECTION);
        if (!kept) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /** Reads on unless too much is pipelined. */
    private void read() {
        socket.read()
                .subscribe(
                        (bytes, failure) -> {
                            if (failure != null || bytes == null) {
                                ended();
                            } else {
                                received(bytes);
                            }
                        });
    }

    /**
     * Takes in bytes.
     *
     * @param bytes The bytes.
     */
    private void received(ByteBuf bytes) {
        if (closing) {
            bytes.recycle();
            readOn();
            return;
        }
        if (idle()) {
            receiving = true;
            sinceMillis = reactor.currentTimeMillis();
        }
        if (exchange != null) {
            pipelinedBytes += bytes.readRemaining();
        } else if (foldedLines.folded(bytes.array(), bytes.head(), bytes.readRemaining())) {
            bytes.recycle();
            refuse(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        CodecChannels.decode(codec, bytes);
        for (HttpObject each = codec.readInbound(); each != null; each = codec.readInbound()) {
            waiting.add(each);
        }
        takeWaiting();
        readOn();
    }

    /** Reads on if the connection is still open. */
    private void readOn() {
        if (!closed && pipelinedBytes <= MAX_PIPELINED_BYTES) {
            read();
        }
    }

    /** Takes what was decoded until a request is whole. */
    private void takeWaiting() {
        while (exchange == null && !closing && !waiting.isEmpty()) {
            HttpObject next = waiting.poll();
            try {
                take(next);
            } finally {
                ReferenceCountUtil.release(next);
            }
        }
    }

    /**
     * Takes one part of a request.
     *
     * @param part The part.
     */
    private void take(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            refuse(statusOf(part.decoderResult().cause()));
            return;
        }
        if (part instanceof HttpRequest begun) {
            head = begun;
            receiving = true;
            body.reset();
            if (HttpUtil.is100ContinueExpected(begun)) {
                writeBytes(ByteBuf.wrapForReading(CONTINUE.clone()));
            }
        }
        if (part instanceof HttpContent content && head != null) {
            takeContent(content);
        }
    }

    /**
     * Takes a piece of a body.
     *
     * @param content The piece.
     */
    private void takeContent(HttpContent content) {
        if (body.size() + content.content().readableBytes() > server.limits().maxBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        byte[] piece = new byte[content.content().readableBytes()];
        content.content().getBytes(content.content().readerIndex(), piece);
        body.writeBytes(piece);
        if (content instanceof LastHttpContent) {
            CallerRequest request =
                    new CallerRequest(
                            head.method(),
                            head.uri(),
                            head.headers(),
                            Body.of(body.toByteArray()),
                            sinceMillis);
            exchange = new CallerExchange(this, request, HttpUtil.isKeepAlive(head));
            head = null;
            receiving = false;
            // A buffer that was kept held 15 KB for each resting connection behind a body of 12 KB.
            body = new ByteArrayOutputStream();
            foldedLines.reset();
            server.handle(exchange);
        }
    }

    /**
     * Finds the status for a request that can't be read.
     *
     * @param cause Why it can't be read.
     * @return The status.
     */
    private static HttpResponseStatus statusOf(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException
                || cause instanceof TooLongHttpLineException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        return HttpResponseStatus.BAD_REQUEST;
    }

    /**
     * Refuses what can't be read and closes the connection.
     *
     * @param status The status.
     */
    private void refuse(HttpResponseStatus status) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        headers.set(HttpHeaderNames.CONTENT_LENGTH, 0);
        setConnection(headers, false);
        send(
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        status,
                        Unpooled.EMPTY_BUFFER,
                        headers,
                        DefaultHttpHeadersFactory.trailersFactory().newHeaders()));
        served(false);
        readOn();
    }

    /**
     * Goes on behind an answer.
     *
     * @param kept Whether the connection goes on.
     */
    private void served(boolean kept) {
        exchange = null;
        receiving = false;
        sinceMillis = reactor.currentTimeMillis();
        if (!kept) {
            linger();
            return;
        }
        boolean paused = pipelinedBytes > MAX_PIPELINED_BYTES;
        pipelinedBytes = 0;
        if (!waiting.isEmpty()) {
            reactor.postLast(this::takeWaiting);
        }
        if (paused) {
            read();
        }
    }

    /**
     * Sends a message.
     *
     * @param message The message.
     */
    private void send(Object message) {
        writeBytes(CodecChannels.encode(codec, message));
    }

    /**
     * Writes bytes.
     *
     * @param bytes The bytes.
     */
    private void writeBytes(ByteBuf bytes) {
        if (closed) {
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
                                ended();
                            } else if (closing && unwrittenBytes == 0) {
                                shutOutput();
                            }
                        });
    }

    /** Ends the connection once the caller has read the last answer. */
    private void linger() {
        closing = true;
        reactor.delayBackground(LINGER_MILLIS, this::close);
        if (unwrittenBytes == 0) {
            shutOutput();
        }
    }

    /** Tells the caller that nothing more comes. */
    private void shutOutput() {
        if (!closed && socket instanceof TcpSocket tcp) {
            try {
                tcp.getSocketChannel().shutdownOutput();
            } catch (IOException exception) {
                close();
            }
        }
    }

    /** Notes that the caller closed or reset the connection. */
    private void ended() {
        CallerExchange left = exchange;
        exchange = null;
        close();
        if (left != null) {
            left.left();
        }
    }

    /** Closes the socket. */
    private void close() {
        if (!closed) {
            closed = true;
            closing = true;
            waiting.forEach(ReferenceCountUtil::release);
            waiting.clear();
            socket.close();
            codec.finishAndReleaseAll();
            server.closed(this);
        }
    }
}
