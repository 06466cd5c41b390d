package org.martenwell.exchange;

/**
 * Bounds the memory in which bytes are kept for callers: requests from their first byte until their
 * response is complete, and what callers haven't read of responses. A part of it is reserved for
 * short requests, so that large bodies don't keep them out.
 */
public final class CallerMemory {

    /** The size up to which requests may use the reserved part, in bytes. */
    static final int SHORT_BYTES = 1 << 14;

    /** The part of the heap that callers may take, in eighths. */
    private static final long HEAP_EIGHTHS = 3;

    private static final long EIGHTHS = 8;

    /** The part of the memory that is reserved for short requests, as a divisor. */
    private static final long RESERVED_DIVISOR = 4;

    private final long maxBytes;

    private final ReleaseRate releaseRate = new ReleaseRate();

    private long keptBytes;

    private long refusals;

    /**
     * Creates a memory that is empty.
     *
     * @param maxBytes The most bytes that are kept.
     */
    public CallerMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Creates a memory of three eighths of this process's heap.
     *
     * @return The memory.
     */
    public static CallerMemory ofHeap() {
        return new CallerMemory(Runtime.getRuntime().maxMemory() * HEAP_EIGHTHS / EIGHTHS);
    }

    /** {@return the bytes that are kept, including those reserved for bodies that are arriving} */
    public long keptBytes() {
        return keptBytes;
    }

    /** {@return the number of requests that were refused for lack of memory} */
    public long refusals() {
        return refusals;
    }

    /** {@return {@code true} if not even a short request has room} */
    boolean full() {
        return keptBytes >= maxBytes;
    }

    /**
     * Reserves memory for a part of a request.
     *
     * @param requestBytes The bytes that are reserved for the request already.
     * @param bytes The bytes of the part.
     * @return {@code false} if there is no room; nothing is reserved then.
     */
    boolean reserve(int requestBytes, int bytes) {
        boolean brief = requestBytes + bytes <= SHORT_BYTES;
        long limit = brief ? maxBytes : maxBytes - maxBytes / RESERVED_DIVISOR;
        if (keptBytes + bytes > limit) {
            return false;
        }
        keptBytes += bytes;
        return true;
    }

    /**
     * Counts bytes that are kept whether there is room or not, as those of a response.
     *
     * @param bytes The number of bytes.
     */
    void add(int bytes) {
        keptBytes += bytes;
    }

    /**
     * Releases added bytes.
     *
     * @param bytes The number of bytes.
     */
    void remove(int bytes) {
        keptBytes -= bytes;
    }

    /**
     * Releases bytes of a request.
     *
     * @param bytes The number of bytes.
     * @param nowMillis The current time, in milliseconds.
     */
    void release(int bytes, long nowMillis) {
        keptBytes -= bytes;
        releaseRate.released(bytes, nowMillis);
    }

    /**
     * Records that a request is refused and returns when there will be room for it, behind those
     * that were refused before.
     *
     * @param bytes The size of the request as far as it is known.
     * @param nowMillis The current time, in milliseconds.
     * @param maxMillis The time within which all requests that are arriving are complete or
     *     refused.
     * @return The time from now on, in milliseconds, at most the maximum.
     */
    long refuse(int bytes, long nowMillis, long maxMillis) {
        refusals++;
        return releaseRate.delayMillis(bytes, nowMillis, maxMillis);
    }
}
