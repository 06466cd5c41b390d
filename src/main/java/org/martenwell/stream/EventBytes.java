package org.martenwell.stream;

/** Bytes of whole events. */
public final class EventBytes {

    /** The bytes. */
    private final byte[] array;

    /**
     * Wraps bytes.
     *
     * @param array The bytes, not copied.
     */
    EventBytes(byte[] array) {
        this.array = array;
    }

    /**
     * Returns the bytes.
     *
     * @return The bytes, not copied.
     */
    public byte[] array() {
        return array;
    }

    /**
     * Returns whether there are none.
     *
     * @return {@code true} if empty.
     */
    public boolean isEmpty() {
        return array.length == 0;
    }
}
