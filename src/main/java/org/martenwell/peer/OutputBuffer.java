package org.martenwell.peer;

import java.util.Arrays;

/** Growing buffer of bytes to send that releases its memory after a large message. */
final class OutputBuffer {

    /** The capacity that is retained, in bytes; most reports fit in it. */
    static final int RETAINED_BYTES = 16_384;

    private byte[] bytes = new byte[0];

    private int size;

    /** Creates an empty buffer. */
    OutputBuffer() {}

    /**
     * Appends bytes.
     *
     * @param added The bytes, which are copied.
     */
    void write(byte[] added) {
        int required = Math.addExact(size, added.length);
        if (required > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(required, 2 * size));
        }
        System.arraycopy(added, 0, bytes, size, added.length);
        size = required;
    }

    /** {@return the number of bytes in the buffer} */
    int size() {
        return size;
    }

    /** {@return the number of bytes for which memory is allocated} */
    int capacity() {
        return bytes.length;
    }

    /** {@return all bytes, which are removed} */
    byte[] takeAll() {
        byte[] taken = Arrays.copyOf(bytes, size);
        size = 0;
        if (bytes.length > RETAINED_BYTES) {
            bytes = new byte[0];
        }
        return taken;
    }
}
