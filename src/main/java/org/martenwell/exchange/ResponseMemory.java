package org.martenwell.exchange;

/**
 * Bounds the memory in which responses of targets are kept until they are complete: that of each
 * response, and that of all together.
 */
public final class ResponseMemory {

    /** The most bytes of one response that are kept. */
    public static final int MAX_RESPONSE_BYTES = 4 << 20;

    /** The bytes of a response that are kept whatever the others take. */
    private static final int GUARANTEED_BYTES = 1 << 15;

    /** The part of the heap that all responses together may take, as a divisor. */
    private static final long HEAP_DIVISOR = 8;

    private final long maxBytes;

    /** The bytes that all responses take. */
    private long usedBytes;

    /**
     * Creates a memory without responses.
     *
     * @param maxBytes The most bytes of all responses together, apart from the first 32 KiB of
     *     each.
     */
    public ResponseMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Creates a memory of an eighth of this process's heap.
     *
     * @return The memory.
     */
    public static ResponseMemory ofHeap() {
        return new ResponseMemory(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    /** {@return the bytes that all responses take} */
    public long usedBytes() {
        return usedBytes;
    }

    /**
     * Reserves memory for a piece of a response.
     *
     * @param keptBytes The bytes of the response that are kept already.
     * @param pieceBytes The bytes of the piece.
     * @return {@code false} if the response is too large; nothing is reserved then.
     */
    public boolean reserve(int keptBytes, int pieceBytes) {
        int total = keptBytes + pieceBytes;
        if (total > MAX_RESPONSE_BYTES
                || (total > GUARANTEED_BYTES && usedBytes + pieceBytes > maxBytes)) {
            return false;
        }
        usedBytes += pieceBytes;
        return true;
    }

    /**
     * Releases reserved memory.
     *
     * @param bytes The number of bytes.
     */
    public void release(int bytes) {
        usedBytes -= bytes;
    }
}
