package org.martenwell.stream;

/** The bytes of complete events. */
public final class EventBytes {

    private final byte[] array;

    /**
     * Wraps a byte array.
     *
     * @param array The bytes, not copied.
     */
    EventBytes(byte[] array) {
        this.array = array;
    }

    /** {@return the bytes, not copied} */
    public byte[] array() {
        return array;
    }

    /** {@return {@code true} if there are no events} */
    public boolean isEmpty() {
        return array.length == 0;
    }
}
