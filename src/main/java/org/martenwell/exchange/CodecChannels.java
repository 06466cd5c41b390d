package org.martenwell.exchange;

import io.activej.bytebuf.ByteBufPool;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * Creates Netty's HTTP codecs in embedded channels and converts between Netty's and ActiveJ's
 * buffers.
 */
final class CodecChannels {

    /** The maximum length of a status line. */
    private static final int MAX_STATUS_LINE_BYTES = 8_192;

    private static final int MAX_RESPONSE_HEAD_BYTES = 65_536;

    /** The maximum size of one decoded piece of a body. */
    private static final int MAX_CHUNK_BYTES = 65_536;

    private static final int INITIAL_LINE_BUFFER_BYTES = 256;

    private CodecChannels() {}

    /**
     * Creates a codec for a caller's connection: decodes requests and encodes responses.
     *
     * @param maxHeaderBytes The maximum size of a request's headers, and of its request line.
     * @return The codec, which the connection must release.
     */
    static EmbeddedChannel forCaller(int maxHeaderBytes) {
        return new EmbeddedChannel(
                new CallerRequestDecoder(decoderConfig(maxHeaderBytes, maxHeaderBytes)),
                new HttpResponseEncoder());
    }

    /**
     * Creates a codec for a connection to a target: decodes responses and encodes requests.
     *
     * @param decoder Decodes the responses.
     * @return The codec, which the connection must release.
     */
    static EmbeddedChannel forTarget(ResponseDecoder decoder) {
        return new EmbeddedChannel(decoder, new TargetRequestEncoder());
    }

    /** {@return the configuration of response decoders} */
    static HttpDecoderConfig responseConfig() {
        return decoderConfig(MAX_STATUS_LINE_BYTES, MAX_RESPONSE_HEAD_BYTES);
    }

    private static HttpDecoderConfig decoderConfig(int maxLineBytes, int maxHeaderBytes) {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(maxLineBytes)
                .setMaxHeaderSize(maxHeaderBytes)
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setInitialBufferSize(INITIAL_LINE_BUFFER_BYTES)
                .setValidateHeaders(true);
    }

    /**
     * Encodes messages.
     *
     * @param codec The codec.
     * @param messages The messages, which are released.
     * @return The encoded bytes; the receiver must recycle them.
     */
    static io.activej.bytebuf.ByteBuf encode(EmbeddedChannel codec, Object... messages) {
        codec.writeOutbound(messages);
        int length = 0;
        for (Object each : codec.outboundMessages()) {
            length += ((ByteBuf) each).readableBytes();
        }
        io.activej.bytebuf.ByteBuf bytes = ByteBufPool.allocate(Math.max(1, length));
        for (ByteBuf each = codec.readOutbound(); each != null; each = codec.readOutbound()) {
            int size = each.readableBytes();
            each.readBytes(bytes.array(), bytes.tail(), size);
            bytes.moveTail(size);
            each.release();
        }
        return bytes;
    }

    /**
     * Passes received bytes to a decoder, whose results are read by {@code readInbound}.
     *
     * @param codec The codec.
     * @param bytes The bytes, which are recycled.
     */
    static void decode(EmbeddedChannel codec, io.activej.bytebuf.ByteBuf bytes) {
        byte[] copy = bytes.asArray();
        codec.writeInbound(Unpooled.wrappedBuffer(copy));
    }
}
