package org.martenwell.exchange;

import io.activej.bytebuf.ByteBufPool;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Creates the codecs of connections and moves bytes in and out of them. */
final class CodecChannels {

    /** The longest first line of a message, in bytes. */
    private static final int MAX_LINE_BYTES = 8_192;

    /** The largest head of an answer, in bytes. */
    private static final int MAX_ANSWER_HEAD_BYTES = 65_536;

    /** The largest piece of a body that the codec hands out, in bytes. */
    private static final int MAX_PIECE_BYTES = 65_536;

    /** The first size of the codec's line buffer, in bytes. */
    private static final int LINE_BUFFER_BYTES = 256;

    /** Not instantiated. */
    private CodecChannels() {}

    /**
     * Creates the codec of a caller's connection.
     *
     * @param maxHeaderBytes The largest head, in bytes.
     * @return The codec.
     */
    static EmbeddedChannel ofCaller(int maxHeaderBytes) {
        return new EmbeddedChannel(
                new HttpRequestDecoder(config(maxHeaderBytes)), new HttpResponseEncoder());
    }

    /**
     * Creates the codec of a target's connection.
     *
     * @param decoder Decodes answers.
     * @return The codec.
     */
    static EmbeddedChannel ofTarget(AnswerDecoder decoder) {
        return new EmbeddedChannel(decoder, new HttpRequestEncoder());
    }

    /**
     * Returns the settings of a decoder of answers.
     *
     * @return The settings.
     */
    static HttpDecoderConfig answerConfig() {
        return config(MAX_ANSWER_HEAD_BYTES);
    }

    /**
     * Returns the settings of a decoder.
     *
     * @param maxHeaderBytes The largest head, in bytes.
     * @return The settings.
     */
    private static HttpDecoderConfig config(int maxHeaderBytes) {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(maxHeaderBytes)
                .setMaxChunkSize(MAX_PIECE_BYTES)
                .setInitialBufferSize(LINE_BUFFER_BYTES)
                .setValidateHeaders(true);
    }

    /**
     * Encodes messages.
     *
     * @param codec The codec.
     * @param messages The messages.
     * @return Their bytes, owned by the caller.
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
     * Hands bytes to a decoder.
     *
     * @param codec The codec.
     * @param bytes The bytes, which this method frees.
     */
    static void decode(EmbeddedChannel codec, io.activej.bytebuf.ByteBuf bytes) {
        byte[] copy = bytes.asArray();
        codec.writeInbound(Unpooled.wrappedBuffer(copy));
    }
}
