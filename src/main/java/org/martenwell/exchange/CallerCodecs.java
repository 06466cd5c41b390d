package org.martenwell.exchange;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Codecs that are free to be used by any connection, so that idle connections need none and a
 * connection that carries one request doesn't create one.
 */
final class CallerCodecs {

    /** The most free codecs that are kept. */
    private static final int MAX_FREE = 64;

    private final Deque<EmbeddedChannel> free = new ArrayDeque<>();

    /** The maximum size of headers that the free codecs accept, in bytes. */
    private int headerBytes;

    /**
     * Takes a codec.
     *
     * @param maxHeaderBytes The maximum size of a request's headers.
     * @return A codec at the start of a request.
     */
    EmbeddedChannel take(int maxHeaderBytes) {
        if (maxHeaderBytes != headerBytes) {
            free.forEach(EmbeddedChannel::finishAndReleaseAll);
            free.clear();
            headerBytes = maxHeaderBytes;
        }
        EmbeddedChannel codec = free.poll();
        return codec == null ? CodecChannels.forCaller(maxHeaderBytes) : codec;
    }

    /**
     * Returns a codec behind a complete response.
     *
     * @param codec The codec.
     * @param maxHeaderBytes The maximum size of headers that it accepts.
     * @return {@code false} if it has read a part of a request; it is still in use then.
     */
    boolean giveBack(EmbeddedChannel codec, int maxHeaderBytes) {
        if (withinRequest(codec)) {
            return false;
        }
        if (maxHeaderBytes == headerBytes && free.size() < MAX_FREE) {
            free.push(codec);
        } else {
            codec.finishAndReleaseAll();
        }
        return true;
    }

    /**
     * Returns whether a codec has read a part of a request.
     *
     * @param codec The codec, or {@code null} for none.
     * @return {@code true} if it has.
     */
    static boolean withinRequest(EmbeddedChannel codec) {
        return codec != null && codec.pipeline().get(CallerRequestDecoder.class).withinRequest();
    }
}
