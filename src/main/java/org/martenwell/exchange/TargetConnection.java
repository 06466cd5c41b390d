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

/**
 * A connection to a target. It carries one request at a time. Bytes that belong to no request end
 * it, and an answer that is cut off is never told as whole.
 */
public final class TargetConnection {

    /** The loop. */
    private final NioReactor reactor;

    /** The socket. */
    private final TcpSocket socket;

    /** Is told of each answer's head. */
    private final AnswerHeadListener headListener;

    /** Is told when the connection can't be used any more. */
    private final Runnable closeListener;

    /** Decodes answers. */
    private final AnswerDecoder decoder = new AnswerDecoder();

    /** Encodes requests. */
    private final EmbeddedChannel codec = CodecChannels.ofTarget(decoder);

    /** Is told of the answer or {@code null} while no request is under way. */
    private AnswerListener listener;

    /** The head of the answer that arrives or {@code null}. */
    private HttpResponse head;

    /** Whether the arriving answer belongs to another request. */
    private boolean foreign;

    /** Whether another request may follow. */
    private boolean reusable = true;

    /** Whether the socket is closed. */
    private boolean closed;

    /** Whether a read is under way. */
    private boolean reading;

    /** Whether reading waits until {@link #resume}. */
    private boolean paused;

    /** Until when the idle connection may be used, in milliseconds. */
    private long usableUntilMillis = Long.MAX_VALUE;

    /** How many bytes of requests wait to be written. */
    private int unwrittenBytes;

    /**
     * Creates a connection.
     *
     * @param reactor The loop.
     * @param socket The open socket.
     * @param headListener Is told of each answer's head.
     * @param closeListener Is told when the connection can't be used any more.
     */
    TargetConnection(
            NioReactor reactor,
            TcpSocket socket,
            AnswerHeadListener headListener,
            Runnable closeListener) {
        this.reactor = reactor;
        this.socket = socket;
        this.headListener = headListener;
        this.closeListener = closeListener;
        read();
    }

    /**
     * Returns whether a request may be sent.
     *
     * @return {@code true} if so.
     */
    boolean usable() {
        return !closed
                && reusable
                && listener == null
                && unwrittenBytes == 0
                && reactor.currentTimeMillis() < usableUntilMillis;
    }

    /**
     * Sets until when the idle connection may be used.
     *
     * @param untilMillis The time, in milliseconds.
     */
    void useUntil(long untilMillis) {
        usableUntilMillis = untilMillis;
    }

    /**
     * Sends a request.
     *
     * @param request The request.
     * @param answer Is told of its answer.
     */
    public void send(TargetRequestHead request, AnswerListener answer) {
        listener = answer;
        head = null;
        foreign = false;
        decoder.expect(request.method());
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
                                broken(false);
                            }
                        });
    }

    /** Stops reading until {@link #resume}. */
    public void pause() {
        paused = true;
    }

    /** Reads on. */
    public void resume() {
        if (paused) {
            paused = false;
            read();
        }
    }

    /** Closes the connection without telling the listener, so that the target stops its work. */
    public void cancel() {
        listener = null;
        close();
    }

    /** Reads on. */
    private void read() {
        if (closed || paused || reading) {
            return;
        }
        reading = true;
        socket.read()
                .subscribe(
                        (bytes, failure) -> {
                            reading = false;
                            if (failure != null) {
                                broken(false);
                            } else if (bytes == null) {
                                broken(true);
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
        if (listener == null || closed) {
            bytes.recycle();
            close();
            return;
        }
        CodecChannels.decode(codec, bytes);
        takeDecoded();
        read();
    }

    /** Takes what was decoded. */
    private void takeDecoded() {
        for (HttpObject each = codec.readInbound(); each != null; each = codec.readInbound()) {
            try {
                if (listener == null) {
                    reusable = false;
                    if (each instanceof HttpResponse late) {
                        headListener.heard(late);
                    }
                } else {
                    take(each);
                }
            } finally {
                ReferenceCountUtil.release(each);
            }
        }
        if (!reusable && listener == null) {
            close();
        }
    }

    /**
     * Takes a part of an answer.
     *
     * @param part The part.
     */
    private void take(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            fail(head == null ? AnswerFailure.MALFORMED : AnswerFailure.BROKEN_OFF);
            return;
        }
        if (part instanceof HttpResponse begun) {
            begin(begun);
        }
        if (part instanceof HttpContent content && head != null) {
            takeContent(content);
        }
    }

    /**
     * Takes the head of an answer.
     *
     * @param begun The head.
     */
    private void begin(HttpResponse begun) {
        head = begun;
        headListener.heard(begun);
        boolean interim = begun.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        foreign = interim || !listener.belongs(begun);
        if (foreign) {
            reusable = reusable && interim;
            return;
        }
        reusable = reusable && HttpUtil.isKeepAlive(begun) && framed(begun);
        listener.begun(begun);
    }

    /**
     * Tells whether an answer ends before its connection does.
     *
     * @param begun The head.
     * @return {@code true} if it has a length or comes in chunks.
     */
    private static boolean framed(HttpResponse begun) {
        return HttpUtil.isContentLengthSet(begun)
                || HttpUtil.isTransferEncodingChunked(begun)
                || begun.status().code() == 204
                || begun.status().code() == 304;
    }

    /**
     * Takes a piece of an answer's body.
     *
     * @param content The piece.
     */
    private void takeContent(HttpContent content) {
        int length = content.content().readableBytes();
        if (!foreign && length > 0) {
            byte[] piece = new byte[length];
            content.content().getBytes(content.content().readerIndex(), piece);
            listener.received(piece);
        }
        if (content instanceof LastHttpContent) {
            boolean mine = !foreign;
            head = null;
            foreign = false;
            if (mine && listener != null) {
                AnswerListener done = listener;
                listener = null;
                reusable = reusable && unwrittenBytes == 0;
                done.ended();
            }
        }
    }

    /**
     * Notes that the connection ended.
     *
     * @param orderly Whether the target closed it rather than reset it.
     */
    private void broken(boolean orderly) {
        if (closed) {
            return;
        }
        if (orderly && listener != null && head != null && !framed(head)) {
            codec.finish();
            takeDecoded();
        }
        if (listener != null) {
            fail(head == null ? AnswerFailure.NO_ANSWER : AnswerFailure.BROKEN_OFF);
        }
        close();
    }

    /**
     * Ends the connection with a failure.
     *
     * @param failure The failure.
     */
    private void fail(AnswerFailure failure) {
        AnswerListener failed = listener;
        listener = null;
        reusable = false;
        close();
        failed.failed(failure);
    }

    /** Closes the socket. */
    private void close() {
        if (!closed) {
            closed = true;
            reusable = false;
            socket.close();
            codec.finishAndReleaseAll();
            closeListener.run();
        }
    }
}
