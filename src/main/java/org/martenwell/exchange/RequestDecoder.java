package org.martenwell.exchange;

import io.activej.bytebuf.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Deque;

/** Assembles the requests of a caller's connection from the received bytes. */
final class RequestDecoder {

    /** The effect of the next decoded part. */
    enum Step {

        /** There is no further part. */
        NONE,

        /** A request has begun. */
        BEGUN,

        /** A piece of the body of the request has arrived. */
        CONTINUED,

        /** The request is complete. */
        COMPLETE,

        /** The request can't be processed, and the position of the next one is unknown. */
        REJECTED
    }

    /** The codec of the request that is read, or {@code null} before the first one. */
    private EmbeddedChannel codec;

    /** Message parts that are decoded but not processed because a request is being served. */
    private final Deque<HttpObject> parts = new ArrayDeque<>();

    private ByteArrayOutputStream body = new ByteArrayOutputStream();

    /** The head of the request that began last, or {@code null}. */
    private HttpRequest head;

    /** The status of the response to a rejected request. */
    private HttpResponseStatus rejection = HttpResponseStatus.BAD_REQUEST;

    /** Creates a decoder without a codec, which {@link #replaceCodec} sets. */
    RequestDecoder() {}

    /**
     * Decodes received bytes.
     *
     * @param bytes The bytes, which are recycled.
     */
    void decode(ByteBuf bytes) {
        CodecChannels.decode(codec, bytes);
        for (HttpObject each = codec.readInbound(); each != null; each = codec.readInbound()) {
            parts.add(each);
        }
    }

    /**
     * Replaces the codec between two requests.
     *
     * @param next Decodes the next requests.
     */
    void replaceCodec(EmbeddedChannel next) {
        codec = next;
    }

    /** {@return {@code true} if parts are decoded but not processed} */
    boolean hasParts() {
        return !parts.isEmpty();
    }

    /**
     * Processes the next decoded part.
     *
     * @param maxBodyBytes The maximum size of the body.
     * @return The effect of the part.
     */
    Step next(int maxBodyBytes) {
        HttpObject part = parts.poll();
        if (part == null) {
            return Step.NONE;
        }
        try {
            return process(part, maxBodyBytes);
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    /** {@return the head of the request that began last} */
    HttpRequest head() {
        return head;
    }

    /**
     * Returns the body of a complete request and prepares for the next one.
     *
     * @return The body.
     */
    Body takeBody() {
        Body complete = Body.of(body.toByteArray());
        // A new buffer, since reset() would keep the grown array for as long as the connection
        // is idle, which is 15 KB after a body of 12 KB.
        body = new ByteArrayOutputStream();
        head = null;
        return complete;
    }

    /** {@return the status of the response to a rejected request} */
    HttpResponseStatus rejection() {
        return rejection;
    }

    /** Releases the parts that are not processed. */
    void release() {
        parts.forEach(ReferenceCountUtil::release);
        parts.clear();
    }

    private Step process(HttpObject part, int maxBodyBytes) {
        if (part.decoderResult().isFailure()) {
            rejection = statusOf(part.decoderResult().cause());
            return Step.REJECTED;
        }
        if (part instanceof HttpRequest requestHead) {
            head = requestHead;
            body.reset();
            return Step.BEGUN;
        }
        if (part instanceof HttpContent content && head != null) {
            return append(content, maxBodyBytes);
        }
        return Step.CONTINUED;
    }

    private Step append(HttpContent content, int maxBodyBytes) {
        if (body.size() + content.content().readableBytes() > maxBodyBytes) {
            rejection = HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
            return Step.REJECTED;
        }
        byte[] piece = new byte[content.content().readableBytes()];
        content.content().getBytes(content.content().readerIndex(), piece);
        body.writeBytes(piece);
        return content instanceof LastHttpContent ? Step.COMPLETE : Step.CONTINUED;
    }

    /**
     * Maps a decoder failure to a response status.
     *
     * @param cause The exception of the decoder.
     * @return The status: 431 for an excessive head, else 400.
     */
    private static HttpResponseStatus statusOf(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException
                || cause instanceof TooLongHttpLineException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        return HttpResponseStatus.BAD_REQUEST;
    }
}
