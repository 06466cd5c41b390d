package org.martenwell.exchange;

import io.activej.bytebuf.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
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

        /** There is no memory for the body of the request, which has arrived in part at most. */
        NO_MEMORY,

        /** The request can't be processed, and the position of the next one is unknown. */
        REJECTED
    }

    /** The codec of the request that is read, or {@code null} before the first one. */
    private EmbeddedChannel codec;

    /** Message parts that are decoded but not processed because a request is being served. */
    private final Deque<HttpObject> parts = new ArrayDeque<>();

    /** The bytes of bodies in these parts. */
    private int partBytes;

    private final ArrivingBody body;

    /** The head of the request that began last, or {@code null}. */
    private HttpRequest head;

    /** The status of the response to a rejected request. */
    private HttpResponseStatus rejection = HttpResponseStatus.BAD_REQUEST;

    /**
     * Creates a decoder without a codec, which {@link #replaceCodec} sets.
     *
     * @param memory The memory of the connection's request.
     */
    RequestDecoder(RequestMemory memory) {
        this.body = new ArrivingBody(memory);
    }

    /**
     * Decodes received bytes.
     *
     * @param bytes The bytes, which are recycled.
     * @return The number of decoded bytes of bodies.
     */
    int decode(ByteBuf bytes) {
        CodecChannels.decode(codec, bytes);
        int bodyBytes = 0;
        for (HttpObject each = codec.readInbound(); each != null; each = codec.readInbound()) {
            parts.add(each);
            bodyBytes += bodyBytes(each);
        }
        partBytes += bodyBytes;
        return bodyBytes;
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

    /** {@return the number of bytes of bodies that are decoded but not processed} */
    int partBytes() {
        return partBytes;
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
        partBytes -= bodyBytes(part);
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

    /** {@return {@code true} if a request has begun and its body is incomplete} */
    boolean withinBody() {
        return head != null;
    }

    /** {@return the expected size of the body in bytes, as far as it is known} */
    int expectedBodyBytes() {
        return body.expectedBytes();
    }

    /**
     * Returns the body of a complete request and prepares for the next one.
     *
     * @return The body.
     */
    Body takeBody() {
        Body complete = body.take();
        head = null;
        return complete;
    }

    /** {@return the status of the response to a rejected request} */
    HttpResponseStatus rejection() {
        return rejection;
    }

    /** Gives up the parts that are not processed and the body that is incomplete. */
    void release() {
        body.discard();
        parts.forEach(ReferenceCountUtil::release);
        parts.clear();
        partBytes = 0;
    }

    private static int bodyBytes(HttpObject part) {
        return part instanceof HttpContent content ? content.content().readableBytes() : 0;
    }

    private Step process(HttpObject part, int maxBodyBytes) {
        if (part.decoderResult().isFailure()) {
            rejection = statusOf(part.decoderResult().cause());
            return Step.REJECTED;
        }
        if (part instanceof HttpRequest requestHead) {
            head = requestHead;
            boolean admitted = body.begin(HttpUtil.getContentLength(requestHead, -1L));
            return admitted ? Step.BEGUN : Step.NO_MEMORY;
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
        if (!body.append(content.content())) {
            return Step.NO_MEMORY;
        }
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
