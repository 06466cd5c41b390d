package org.martenwell.exchange;

import java.util.function.LongSupplier;

/** The memory that is reserved for the request of one connection. */
final class RequestMemory {

    private final CallerMemory memory;

    /** Returns the current time, in milliseconds. */
    private final LongSupplier clock;

    private int bytes;

    /**
     * Creates a memory without a request.
     *
     * @param memory The memory of all callers.
     * @param clock Returns the current time, in milliseconds.
     */
    RequestMemory(CallerMemory memory, LongSupplier clock) {
        this.memory = memory;
        this.clock = clock;
    }

    /** {@return the bytes that are reserved} */
    int bytes() {
        return bytes;
    }

    /**
     * Reserves memory for a part of the request.
     *
     * @param count The bytes of the part.
     * @return {@code false} if there is no room; nothing is reserved then.
     */
    boolean reserve(int count) {
        boolean reserved = memory.reserve(bytes, count);
        if (reserved) {
            bytes += count;
        }
        return reserved;
    }

    /**
     * Counts bytes that have arrived in any case, as those of a request behind the one that is
     * served.
     *
     * @param count The number of bytes.
     */
    void add(int count) {
        memory.add(count);
        bytes += count;
    }

    /**
     * Releases a part of what is reserved.
     *
     * @param count The number of bytes.
     */
    void release(int count) {
        if (count > 0) {
            memory.release(count, clock.getAsLong());
            bytes -= count;
        }
    }

    /** Releases all that is reserved. */
    void clear() {
        release(bytes);
    }
}
