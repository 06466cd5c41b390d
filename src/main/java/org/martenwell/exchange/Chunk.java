package org.martenwell.exchange;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufPool;
import java.nio.charset.StandardCharsets;

/**
 * Encoder of the chunks of a response. It writes the same bytes as Netty's encoder, which makes
 * three buffers of each chunk and passes them through a pipeline.
 */
final class Chunk {

    private static final byte[] END_OF_LINE = {'\r', '\n'};

    private Chunk() {}

    /**
     * Encodes a chunk.
     *
     * @param piece The content, not empty.
     * @return The encoded bytes; the receiver must recycle them.
     */
    static ByteBuf encode(byte[] piece) {
        byte[] size = Integer.toHexString(piece.length).getBytes(StandardCharsets.US_ASCII);
        ByteBuf bytes = ByteBufPool.allocate(size.length + piece.length + 2 * END_OF_LINE.length);
        bytes.put(size);
        bytes.put(END_OF_LINE);
        bytes.put(piece);
        bytes.put(END_OF_LINE);
        return bytes;
    }
}
