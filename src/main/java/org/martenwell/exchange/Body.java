package org.martenwell.exchange;

import java.nio.charset.StandardCharsets;

/**
 * The immutable body of an HTTP message. The array is shared, not copied, so neither the creator
 * nor a reader may modify it.
 */
public final class Body {

    /** The empty body. */
    public static final Body EMPTY = new Body(new byte[0]);

    private final byte[] bytes;

    private Body(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Wraps a byte array.
     *
     * @param bytes The array, which must not be modified afterwards.
     * @return The body; {@link #EMPTY} for an empty array.
     */
    public static Body of(byte[] bytes) {
        return bytes.length == 0 ? EMPTY : new Body(bytes);
    }

    /** {@return the shared array, not a copy} */
    public byte[] bytes() {
        return bytes;
    }

    /** {@return the size in bytes} */
    public int length() {
        return bytes.length;
    }

    @Override
    public String toString() {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
