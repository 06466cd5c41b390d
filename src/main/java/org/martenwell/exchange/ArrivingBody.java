package org.martenwell.exchange;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * The body of a request that is arriving. Its array grows with it, so that an announced body which
 * doesn't arrive takes little, and ends at the announced length without a further copy.
 */
final class ArrivingBody {

    /**
     * The bytes of an announced body that are reserved ahead of their arrival, in bytes. A body up
     * to this size has room from its head on.
     */
    static final int AHEAD_BYTES = 1 << 17;

    private static final int FIRST_BYTES = 1 << 13;

    private static final byte[] NONE = {};

    private final RequestMemory memory;

    private byte[] bytes = NONE;

    private int size;

    /** The announced length, or {@link Integer#MAX_VALUE} if it isn't known. */
    private int length = Integer.MAX_VALUE;

    /** The bytes of the memory that are reserved for the body. */
    private int reserved;

    /**
     * Creates a body that hasn't begun.
     *
     * @param memory The memory of the connection's request.
     */
    ArrivingBody(RequestMemory memory) {
        this.memory = memory;
    }

    /**
     * Begins a body.
     *
     * @param announced The announced length in bytes, or -1 if it isn't known.
     * @return {@code false} if there is no memory for it.
     */
    boolean begin(long announced) {
        bytes = NONE;
        size = 0;
        reserved = 0;
        length = announced < 0 ? Integer.MAX_VALUE : (int) Math.min(announced, Integer.MAX_VALUE);
        return announced < 0 || reserve((int) Math.min(announced, AHEAD_BYTES));
    }

    /** {@return the number of bytes that have arrived} */
    int size() {
        return size;
    }

    /** {@return the expected size in bytes, as far as it is known} */
    int expectedBytes() {
        return length == Integer.MAX_VALUE ? size : length;
    }

    /**
     * Appends a piece.
     *
     * @param piece The piece.
     * @return {@code false} if there is no memory for it.
     */
    boolean append(ByteBuf piece) {
        int count = piece.readableBytes();
        if (size + count > bytes.length && !grow(size + count)) {
            return false;
        }
        piece.getBytes(piece.readerIndex(), bytes, size, count);
        size += count;
        return true;
    }

    /**
     * Returns the complete body, whose memory stays reserved, and prepares for the next one.
     *
     * @return The body.
     */
    Body take() {
        Body complete = Body.of(size == bytes.length ? bytes : Arrays.copyOf(bytes, size));
        memory.release(reserved - size);
        discard();
        return complete;
    }

    /** Gives up what has arrived; its memory stays reserved. */
    void discard() {
        bytes = NONE;
        size = 0;
        reserved = 0;
    }

    private boolean grow(int needed) {
        int doubled = Math.max(FIRST_BYTES, 2 * bytes.length);
        int capacity = Math.max(needed, Math.min(length, doubled));
        if (!reserve(capacity)) {
            return false;
        }
        bytes = Arrays.copyOf(bytes, capacity);
        return true;
    }

    private boolean reserve(int total) {
        if (total > reserved) {
            if (!memory.reserve(total - reserved)) {
                return false;
            }
            reserved = total;
        }
        return true;
    }
}
