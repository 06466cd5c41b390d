package org.martenwell.exchange;

import java.nio.charset.StandardCharsets;

/** The bytes of a message's body. They are not copied, so nobody may change them. */
public final class Body {

    /** No body. */
    public static final Body EMPTY = new Body(new byte[0]);

    /** The bytes. */
    private final byte[] bytes;

    /**
     * Creates a body.
     *
     * @param bytes The bytes.
     */
    private Body(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Creates a body.
     *
     * @param bytes The bytes, which must not change any more.
     * @return The body.
     */
    public static Body of(byte[] bytes) {
        return bytes.length == 0 ? EMPTY : new Body(bytes);
    }

    /**
     * Returns the bytes.
     *
     * @return The bytes, not copied.
     */
    public byte[] bytes() {
        return bytes;
    }

    /**
     * Returns the size.
     *
     * @return The number of bytes.
     */
    public int length() {
        return bytes.length;
    }

    @Override
    public String toString() {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
