package org.martenwell.exchange;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.martenwell.service.StepGuard;

/**
 * A connection from a caller. It serves one request at a time but keeps reading while a request is
 * served, so that a disconnect of the caller is detected immediately.
 */
final class CallerConnection implements ResponseChannel {

    private static final String KEEP_ALIVE = "keep-alive";

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

    /** The time without a byte after which a caller seems to have sent all, in milliseconds. */
    private static final long PAUSE_MILLIS = 50;

    /** The number of bytes from which on a request counts as large. */
    private static final long LARGE_REQUEST_BYTES = 65_536;

    /**
     * The same time for a large request, in which a caller may wait for the network, and for one of
     * which nothing has arrived.
     */
    private static final long LONG_PAUSE_MILLIS = 400;

    /** The most reads of what has arrived before a decision to close. */
    private static final int MAX_LAST_READS = 64;

    private final NioReactor reactor;

    private final ITcpSocket socket;

    private final CallerServer server;

    private final StepGuard guard;

    /** The codec, or {@code null} while the connection is idle. */
    private EmbeddedChannel codec;

    /** The maximum size of headers that the codec accepts, in bytes. */
    private int codecHeaderBytes;

    /** The memory of the request that is arriving or served. */
    private final RequestMemory requestMemory;

    private final RequestDecoder decoder;

    /** The exchange being served, or {@code null}. */
    private CallerExchange exchange;

    private final StatePeriod period;

    /** Set while a read of the socket is pending. */
    private boolean reading;

    /** The number of reads that brought bytes or the end of input. */
    private long reads;

    /** Set once a response to the request being served is passed to the socket. */
    private boolean responseBegun;

    /** Set if the head of the current response says that the connection closes behind it. */
    private boolean closeStated;

    /** The limits in force when the last response said that the connection stays open. */
    private ConnectionLimits statedLimits = ConnectionLimits.NONE;

    /** Set while a response in chunks is sent whose pieces need no codec. */
    private boolean plainChunks;

    /** Set while a response is sent in pieces of which the caller gets the head only. */
    private boolean bodyOmitted;

    /** Set once a close-delimited response has begun, until whose end any close is a reset. */
    private boolean closeAborts;

    /** Set once the caller has ended its output and all of it is read. */
    private boolean inputRead;

    private int pipelinedBytes;

    /** Response bytes handed to the socket whose write hasn't completed. */
    private int unwrittenBytes;

    /** The bytes that were read and discarded during a graceful close. */
    private long discardedBytes;

    /** The last time at which bytes were read, on the clock without the event loop's delays. */
    private long readMillis;

    private long readBytes;

    /** The headers of the request being served, or {@code null}. */
    private HttpHeaders servedHeaders;

    private boolean closed;

    /** The end of a graceful close whose caller doesn't close, or {@code null}. */
    private ScheduledRunnable closeTimer;

    /** The reason for which requests that become complete are refused, or {@code null}. */
    private CloseReason refusalReason;

    /** The reason of a graceful close that has started. */
    private CloseReason closeReason = CloseReason.RESPONSE_COMPLETE;

    /** The connection when a graceful close started, or {@code null}. */
    private ClosedConnection announced;

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
        this.requestMemory = new RequestMemory(server.memory(), reactor::currentTimeMillis);
        this.decoder = new RequestDecoder(requestMemory);
        this.guard = StepGuard.ofSocket(socket, "CallerConnection", this::stepFailed);
        this.period = new StatePeriod(reactor, server);
        this.readMillis = server.clock().millis();
        if (socket instanceof TcpSocket tcp) {
            tcp.setInspector(new WriteProgress(period::written));
        }
    }

    /** Starts reading. */
    void start() {
        server.becameIdle(this);
        read();
    }

    @Override
    public int unwrittenBytes() {
        return unwrittenBytes;
    }

    /**
     * Replaces the limits on the current state where the new ones allow more.
     *
     * @param changed The new limits.
     */
    void extendLimits(ConnectionLimits changed) {
        period.extendLimits(changed);
    }

    /**
     * Checks for a minimum idle time, from the first check of timeouts on.
     *
     * @param millis The time on the event loop's clock, in milliseconds.
     * @return {@code true} if the connection has been idle since this time or longer.
     */
    boolean idleSince(long millis) {
        return period.idleSince(millis);
    }

    /**
     * Checks for a minimum idle time that is not over.
     *
     * @param millis The time on the event loop's clock, in milliseconds.
     * @return {@code true} if the connection is idle, but not since this time.
     */
    boolean idleLaterThan(long millis) {
        return period.is(ConnectionState.IDLE) && !idleSince(millis);
    }

    /**
     * Ends the connection if it exceeds the idle timeout between requests, the header timeout while
     * it receives a request, or the idle timeout without taking a byte of a complete response. A
     * request being served has no limit here.
     *
     * @param nowMillis The current time on the event loop's clock, in milliseconds.
     */
    void closeIfTimedOut(long nowMillis) {
        if (period.is(ConnectionState.IDLE)) {
            if (period.idleTimedOut(nowMillis)) {
                closeIfSilent(CloseReason.IDLE_TIMEOUT);
            }
        } else if (period.requestTimedOut()) {
            refuseIfIncomplete(CloseReason.REQUEST_TIMEOUT, HttpResponseStatus.REQUEST_TIMEOUT);
        } else if (period.responseTimedOut(unreadMillis())) {
            abort(CloseReason.SLOW_CALLER);
        }
    }

    /**
     * Returns the time for which the caller has not read a complete response of which bytes are
     * left.
     *
     * @return The time in milliseconds, 0 if there is no such response.
     */
    long unreadMillis() {
        return sending() ? period.unwrittenMillis() : 0;
    }

    /** {@return {@code true} if the caller seems to have sent all that it wants to} */
    boolean callerSilent() {
        boolean begunSmall = readBytes > 0 && readBytes < LARGE_REQUEST_BYTES;
        long pauseMillis = begunSmall ? PAUSE_MILLIS : LONG_PAUSE_MILLIS;
        return server.clock().millis() - readMillis >= pauseMillis;
    }

    /** {@return {@code true} if a request is arriving or a complete response is being sent} */
    boolean transferring() {
        return period.is(ConnectionState.RECEIVING) || (exchange == null && unwrittenBytes > 0);
    }

    /**
     * Closes an idle connection unless a request, or a part of one, has arrived on it.
     *
     * @param reason The reason.
     */
    void closeIfSilent(CloseReason reason) {
        if (period.is(ConnectionState.IDLE) && !readArrived()) {
            abort(reason);
        }
    }

    /**
     * Accepts the request that arrives on a new connection only to refuse it, also if it has not
     * arrived yet.
     *
     * @param reason The reason.
     */
    void refuse(CloseReason reason) {
        refusalReason = reason;
        start();
        if (period.is(ConnectionState.IDLE) && !readArrived()) {
            refuseUnread(reason);
        } else {
            endWithRefusal(reason);
        }
    }

    /**
     * Refuses whatever request arrives on a new connection, and closes it gracefully.
     *
     * @param reason The reason.
     */
    void refuseUnread(CloseReason reason) {
        closeReason = reason;
        writeBytes(UncodedResponse.unreadRefusal());
        closeGracefully();
    }

    /**
     * Closes the connection. A request that has arrived and wasn't passed on is refused, one that
     * is served and has no response yet gets a status, and the close is graceful then.
     */
    void stop() {
        endWithRefusal(CloseReason.STOP);
    }

    private void endWithRefusal(CloseReason reason) {
        refusalReason = reason;
        closeIfSilent(reason);
        refuseIfIncomplete(reason, HttpResponseStatus.SERVICE_UNAVAILABLE);
        if (period.is(ConnectionState.SERVING) && !responseBegun) {
            endServed(reason);
        }
        if (!period.is(ConnectionState.CLOSING)) {
            abort(reason);
        }
    }

    /** Ends the request being served, of which no response has begun, with a status. */
    private void endServed(CloseReason reason) {
        CallerExchange served = exchange;
        closeReason = reason;
        served.serverStopped();
        if (period.is(ConnectionState.SERVING) && !responseBegun) {
            rejectUncoded(reason, UncodedResponse.failure());
            served.callerDisconnected();
        }
    }

    @Override
    public void respond(int status, HttpHeaders headers, byte[] content, boolean keepAlive) {
        guard.run(() -> sendWhole(status, headers, content, keepAlive));
    }

    private void sendWhole(int status, HttpHeaders headers, byte[] content, boolean keepAlive) {
        if (closed) {
            // The server stopped while the request was served.
            return;
        }
        boolean persistent = keepAlive && !server.draining();
        if (content.length > 0 || !bodyOmitted(status)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, content.length);
        }
        setConnectionHeader(headers, persistent);
        if (content.length == 0 && EmptyResponse.supports(status)) {
            sendEmpty(status, headers);
            finishRequest(persistent);
            return;
        }
        send(
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        bodyOmitted(status)
                                ? Unpooled.EMPTY_BUFFER
                                : Unpooled.wrappedBuffer(content),
                        headers,
                        DefaultHttpHeadersFactory.trailersFactory().newHeaders()));
        finishRequest(persistent);
    }

    /** Returns whether the current response has no body, whatever length its head states. */
    private boolean bodyOmitted(int status) {
        return exchange.request().method().equals(HttpMethod.HEAD)
                || status == HttpResponseStatus.NOT_MODIFIED.code();
    }

    /**
     * {@inheritDoc}
     *
     * <p>Until a close-delimited response has ended, any close resets the connection, also the one
     * at the end of the process.
     */
    @Override
    public void begin(int status, HttpHeaders headers, ResponseFraming framing, boolean keepAlive) {
        guard.run(() -> sendHead(status, headers, framing, keepAlive));
    }

    private void sendHead(
            int status, HttpHeaders headers, ResponseFraming framing, boolean keepAlive) {
        headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
        bodyOmitted = !closed && bodyOmitted(status);
        if (bodyOmitted) {
            setConnectionHeader(headers, keepAlive && !server.draining());
            send(
                    new DefaultHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers));
            return;
        }
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        if (framing == ResponseFraming.CHUNKED) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else if (socket instanceof TcpSocket tcp && !closed) {
            AbortiveClose.set(tcp, true);
            closeAborts = true;
        }
        setConnectionHeader(headers, keepAlive && framing.showsTruncation() && !server.draining());
        plainChunks = framing == ResponseFraming.CHUNKED && status == HttpResponseStatus.OK.code();
        send(
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers));
    }

    @Override
    public void write(byte[] piece) {
        guard.run(() -> sendPiece(piece));
    }

    private void sendPiece(byte[] piece) {
        if (bodyOmitted) {
            return;
        }
        if (plainChunks && !closed) {
            writeBytes(Chunk.encode(piece));
        } else {
            send(new DefaultHttpContent(Unpooled.wrappedBuffer(piece)));
        }
    }

    @Override
    public void end(boolean keepAlive) {
        guard.run(
                () -> {
                    send(LastHttpContent.EMPTY_LAST_CONTENT);
                    finishRequest(!closeStated);
                });
    }

    @Override
    public void responseFailed() {
        guard.run(this::endWithFailure);
    }

    /**
     * Closes the connection at once, without a complete response and without notifying the
     * exchange.
     *
     * @param reason The reason.
     */
    @Override
    public void abort(CloseReason reason) {
        exchange = null;
        close(reason);
    }

    private void setConnectionHeader(HttpHeaders headers, boolean persistent) {
        headers.remove(HttpHeaderNames.CONNECTION);
        headers.remove(KEEP_ALIVE);
        closeStated = !persistent;
        if (persistent) {
            statedLimits = server.limits();
            server.keepAliveSeconds()
                    .ifPresent(seconds -> headers.set(KEEP_ALIVE, "timeout=" + seconds));
        } else {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private boolean sending() {
        return period.is(ConnectionState.SENDING)
                || (period.is(ConnectionState.CLOSING) && unwrittenBytes > 0);
    }

    /**
     * Refuses a request that is still incomplete once all that has arrived of it is read. It has
     * not run and never will.
     */
    private void refuseIfIncomplete(CloseReason reason, HttpResponseStatus status) {
        for (int count = 0;
                count < MAX_LAST_READS && period.is(ConnectionState.RECEIVING);
                count++) {
            if (!readArrived()) {
                break;
            }
        }
        if (period.is(ConnectionState.RECEIVING)) {
            rejectRequest(reason, status);
        }
    }

    private void read() {
        if (closed || reading) {
            return;
        }
        reading = true;
        socket.read()
                .subscribe(
                        (bytes, failure) -> {
                            reading = false;
                            reads++;
                            inputRead |= failure == null && bytes == null;
                            if (failure != null || bytes == null) {
                                guard.run(this::disconnected);
                            } else {
                                guard.run(() -> processBytes(bytes));
                            }
                        });
    }

    /**
     * Processes bytes that have arrived but that the event loop hasn't read yet, since it runs due
     * timers and tasks first.
     *
     * @return {@code true} if there were some, or the end of input.
     */
    private boolean readArrived() {
        if (!reading || !(socket instanceof TcpSocket tcp) || tcp.isClosed()) {
            return false;
        }
        long before = reads;
        tcp.onReadReady();
        return reads > before;
    }

    private void processBytes(ByteBuf bytes) {
        readMillis = server.clock().millis();
        readBytes += bytes.readRemaining();
        if (period.is(ConnectionState.CLOSING)) {
            discardedBytes += bytes.readRemaining();
            bytes.recycle();
            read();
            return;
        }
        if (period.is(ConnectionState.IDLE) || period.is(ConnectionState.SENDING)) {
            receive();
            applyHeaderLimit();
        }
        boolean behindServed = exchange != null;
        if (decode(bytes)) {
            processDecodedParts();
        } else {
            refuseForMemory();
        }
        if (exchange != null && !behindServed) {
            requestMemory.add(decoder.partBytes());
        }
        if (pipelinedBytes <= pipelinedLimit()) {
            read();
        }
    }

    /**
     * Decodes received bytes. Bodies are counted as they are processed, other bytes here.
     *
     * @return {@code false} if there is no memory for the head of the request that is received.
     */
    private boolean decode(ByteBuf bytes) {
        int count = bytes.readRemaining();
        if (exchange != null) {
            pipelinedBytes += count;
            requestMemory.add(count);
            decoder.decode(bytes);
            return true;
        }
        boolean withinBody = decoder.withinBody();
        int headBytes = count - decoder.decode(bytes);
        return withinBody || requestMemory.reserve(headBytes);
    }

    /** Returns the number of bytes behind the served request above which reading pauses. */
    private int pipelinedLimit() {
        return server.memory().full() ? 0 : MAX_PIPELINED_BYTES;
    }

    /** Takes a codec if there is none with the limit on headers of the request that begins. */
    private void applyHeaderLimit() {
        if (codec == null || codecHeaderBytes != period.limits().maxHeaderBytes()) {
            releaseCodec();
            codecHeaderBytes = period.limits().maxHeaderBytes();
            codec = server.codecs().take(codecHeaderBytes);
            decoder.replaceCodec(codec);
        }
    }

    private void releaseCodec() {
        if (codec != null) {
            codec.finishAndReleaseAll();
            codec = null;
        }
    }

    private void receive() {
        period.enter(ConnectionState.RECEIVING);
        server.becameActive(this);
    }

    /** Processes decoded parts until a request is complete and handed to the server. */
    private void processDecodedParts() {
        boolean more = true;
        while (more && exchange == null && !period.is(ConnectionState.CLOSING)) {
            switch (decoder.next(period.limits().maxBodyBytes())) {
                case NONE -> more = false;
                case BEGUN -> requestBegan();
                case CONTINUED -> {}
                case COMPLETE -> requestComplete();
                case NO_MEMORY -> refuseForMemory();
                case REJECTED -> rejectRequest(CloseReason.BAD_REQUEST, decoder.rejection());
            }
        }
    }

    private void requestBegan() {
        if (period.is(ConnectionState.IDLE)) {
            receive();
        }
        if (HttpUtil.is100ContinueExpected(decoder.head())) {
            writeBytes(UncodedResponse.interim());
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
                        period.sinceMillis());
        exchange =
                new CallerExchange(
                        this,
                        request,
                        HttpUtil.isKeepAlive(head),
                        head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0);
        responseBegun = false;
        servedHeaders = head.headers();
        if (inputEnded()) {
            abort(CloseReason.CALLER_LEFT);
        } else if (refusalReason != null) {
            rejectRequest(refusalReason, HttpResponseStatus.SERVICE_UNAVAILABLE);
        } else {
            period.continueAs(ConnectionState.SERVING);
            server.handle(exchange);
        }
    }

    /** Ends the request being received or served with an answer, if none has begun. */
    private void stepFailed(Throwable failure) {
        CallerExchange failed = exchange;
        try {
            endWithFailure();
        } finally {
            abandon(failed);
        }
    }

    private void endWithFailure() {
        if (period.is(ConnectionState.IDLE) || period.is(ConnectionState.RECEIVING)) {
            // What was read may be a request, which is lost.
            rejectUncoded(CloseReason.DEFECT, UncodedResponse.refusal());
        } else if (period.is(ConnectionState.SERVING) && !responseBegun) {
            rejectUncoded(CloseReason.DEFECT, UncodedResponse.failure());
        } else {
            abort(CloseReason.DEFECT);
        }
    }

    /** Closes the connection unless it closes gracefully, and notifies an exchange of that. */
    private void abandon(CallerExchange failed) {
        try {
            if (!period.is(ConnectionState.CLOSING)) {
                abort(CloseReason.DEFECT);
            }
        } finally {
            if (failed != null) {
                failed.callerDisconnected();
            }
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
                decode(ByteBuf.wrapForReading(next.array()));
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
     * @param reason The reason for the close.
     * @param status The status of the empty response.
     */
    private void rejectRequest(CloseReason reason, HttpResponseStatus status) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        headers.set(HttpHeaderNames.CONTENT_LENGTH, 0);
        setConnectionHeader(headers, false);
        closeReason = reason;
        send(
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        status,
                        Unpooled.EMPTY_BUFFER,
                        headers,
                        DefaultHttpHeadersFactory.trailersFactory().newHeaders()));
        finishRequest(false);
    }

    /** Refuses the request that is arriving for lack of memory. It has not run and never will. */
    private void refuseForMemory() {
        long delayMillis =
                server.memory()
                        .refuse(
                                requestMemory.bytes() + decoder.expectedBodyBytes(),
                                reactor.currentTimeMillis(),
                                period.limits().headerTimeoutMillis());
        rejectUncoded(CloseReason.NO_MEMORY, UncodedResponse.refusal(delayMillis));
    }

    /**
     * Responds and closes the connection without the codec, which may have failed.
     *
     * @param reason The reason for the close.
     * @param response The bytes of the response, which are recycled.
     */
    private void rejectUncoded(CloseReason reason, ByteBuf response) {
        closeReason = reason;
        responseBegun = true;
        writeBytes(response);
        finishRequest(false);
    }

    /**
     * Prepares for the next request after a response, or starts a graceful close.
     *
     * @param persistent {@code true} if the connection stays open.
     */
    private void finishRequest(boolean persistent) {
        exchange = null;
        servedHeaders = null;
        if (!persistent) {
            closeGracefully();
            return;
        }
        if (unwrittenBytes > 0) {
            period.enter(ConnectionState.SENDING);
        } else {
            rest();
        }
        if (pipelinedBytes > 0 || decoder.hasParts() || CallerCodecs.withinRequest(codec)) {
            receive();
            reactor.postLast(guard.guarded(this::processDecodedParts));
        }
        requestMemory.clear();
        requestMemory.add(Math.max(pipelinedBytes, decoder.partBytes()));
        pipelinedBytes = 0;
        read();
    }

    private void rest() {
        period.enter(ConnectionState.IDLE);
        extendLimits(statedLimits);
        server.becameIdle(this);
        giveBackCodec();
    }

    /** Lets other connections use the codec, unless it holds a part of a further request. */
    private void giveBackCodec() {
        boolean unused = codec != null && pipelinedBytes == 0 && !decoder.hasParts();
        if (unused && server.codecs().giveBack(codec, codecHeaderBytes)) {
            codec = null;
        }
    }

    private void send(Object message) {
        if (closed) {
            return;
        }
        ByteBuf bytes = CodecChannels.encode(codec, message);
        responseBegun = true;
        writeBytes(bytes);
    }

    private void sendEmpty(int status, HttpHeaders headers) {
        if (!closed) {
            ByteBuf bytes = EmptyResponse.encode(status, headers);
            responseBegun = true;
            writeBytes(bytes);
        }
    }

    private void writeBytes(ByteBuf bytes) {
        if (closed || !bytes.canRead()) {
            bytes.recycle();
            return;
        }
        int length = bytes.readRemaining();
        unwrittenBytes += length;
        server.memory().add(length);
        socket.write(bytes)
                .subscribe(
                        (ignored, failure) -> {
                            unwrittenBytes -= length;
                            server.memory().remove(length);
                            if (failure != null) {
                                guard.run(this::disconnected);
                            } else if (unwrittenBytes == 0) {
                                guard.run(this::allWritten);
                            }
                        });
    }

    private void allWritten() {
        if (period.is(ConnectionState.SENDING)) {
            rest();
        } else if (period.is(ConnectionState.CLOSING)) {
            closeOutput();
        }
    }

    /**
     * Half-closes the connection after pending writes and discards input, so that the caller can
     * read the last response without a reset.
     */
    private void closeGracefully() {
        announced = observe(closeReason);
        period.enter(ConnectionState.CLOSING);
        server.becameActive(this);
        if (closeReason == CloseReason.RESPONSE_COMPLETE) {
            // Input is discarded from here on. Behind a rejected request, the codec is unusable.
            giveBackCodec();
        }
        giveUpRequest();
        read();
        if (unwrittenBytes == 0) {
            closeOutput();
        }
    }

    /**
     * Returns the time after which the connection is closed even if the caller hasn't closed it. A
     * caller may send all of a body before it reads the refusal, which a close would destroy.
     */
    private long closeTimeoutMillis() {
        if (closeReason != CloseReason.NO_MEMORY) {
            return CLOSE_TIMEOUT_MILLIS;
        }
        server.becameDispensable(this);
        return CLOSE_TIMEOUT_MILLIS + period.limits().headerTimeoutMillis();
    }

    /** Gives up all that is kept of requests. */
    private void giveUpRequest() {
        decoder.release();
        releaseCodec();
        requestMemory.clear();
    }

    private void closeOutput() {
        if (closed) {
            return;
        }
        closeTimer = reactor.delayBackground(closeTimeoutMillis(), () -> close(closeReason));
        if (socket instanceof TcpSocket tcp) {
            try {
                if (closeAborts) {
                    AbortiveClose.set(tcp, false);
                }
                tcp.getSocketChannel().shutdownOutput();
            } catch (IOException exception) {
                close(CloseReason.CALLER_LEFT);
            }
        }
    }

    /** Handles the end of input or a socket failure, and notifies the exchange being served. */
    private void disconnected() {
        CallerExchange abandoned = exchange;
        exchange = null;
        boolean complete = period.is(ConnectionState.CLOSING) && unwrittenBytes == 0;
        close(complete ? closeReason : CloseReason.CALLER_LEFT);
        if (abandoned != null) {
            abandoned.callerDisconnected();
        }
    }

    private void close(CloseReason reason) {
        if (!closed) {
            ClosedConnection connection =
                    announced != null && reason == closeReason ? announced : observe(reason);
            connection =
                    connection.withBytes(
                            new LostBytes(unreadBytes(), unwrittenBytes, discardedBytes));
            closed = true;
            period.continueAs(ConnectionState.CLOSING);
            giveUpRequest();
            socket.close();
            if (closeTimer != null) {
                closeTimer.cancel();
            }
            server.closed(this, connection);
        }
    }

    private ClosedConnection observe(CloseReason reason) {
        return new ClosedConnection(
                reason,
                period.state(),
                period.ageMillis(),
                period.lateMillis(),
                LostBytes.NONE,
                period.limits(),
                responseBegun ? Optional.empty() : Optional.ofNullable(servedHeaders));
    }

    private int unreadBytes() {
        if (inputRead || !(socket instanceof TcpSocket tcp) || tcp.isClosed()) {
            return 0;
        }
        try {
            return tcp.getSocketChannel().socket().getInputStream().available();
        } catch (IOException exception) {
            return 0;
        }
    }
}
