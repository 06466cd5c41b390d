package org.martenwell.peer;

import com.google.common.hash.HashFunction;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.Arrays;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.hash.KeyedHash;

/**
 * Signs and verifies the frames of one direction of a connection. A frame consists of a signature
 * and a payload. The signature covers the connection's nonce, the frame's sequence number and the
 * payload, which prevents forgery and replay. Signatures use SipHash-2-4, a keyed hash that is
 * cheaper than HMAC-SHA-256 for short messages (42 instead of 117 us for 8 KB) and needs no
 * security provider, whose loading takes 0.14 s of a start.
 */
final class FrameCodec {

    /**
     * The maximum size of a frame in bytes, which allows for a configuration of up to one megabyte.
     */
    static final int MAX_FRAME_BYTES = 1 << 21;

    /** The size of a connection's nonce in bytes. */
    static final int NONCE_BYTES = 16;

    /**
     * The size of a signature in bytes. Eight bytes suffice because a connection is closed at the
     * first invalid signature and each connection has a new nonce: a forger has one guess in 2^64
     * per connection.
     */
    static final int SIGNATURE_BYTES = 8;

    private final HashFunction signer;

    private final byte[] nonce;

    /** The sequence number of the next frame. */
    private long sequenceNumber;

    /**
     * Creates a codec for a new connection.
     *
     * @param key The secret shared by all peers.
     * @param nonce The connection's nonce, of {@link #NONCE_BYTES} bytes.
     */
    FrameCodec(String key, byte[] nonce) {
        this.signer = KeyedHash.of(key);
        this.nonce = nonce.clone();
    }

    /**
     * Signs the next payload.
     *
     * @param payload The payload.
     * @return The frame.
     */
    byte[] sign(byte[] payload) {
        byte[] signature = computeSignature(payload);
        sequenceNumber++;
        return ByteBuffer.allocate(SIGNATURE_BYTES + payload.length)
                .put(signature)
                .put(payload)
                .array();
    }

    /**
     * Verifies the next frame.
     *
     * @param frame The frame.
     * @return The payload.
     * @throws MartenwellException Of kind {@link ErrorKind#BAD_FRAME} if the frame is too short or
     *     its signature is invalid.
     */
    byte[] verify(byte[] frame) {
        if (frame.length < SIGNATURE_BYTES) {
            throw MartenwellException.of(ErrorKind.BAD_FRAME, "The frame is too short.");
        }
        byte[] payload = Arrays.copyOfRange(frame, SIGNATURE_BYTES, frame.length);
        byte[] signature = Arrays.copyOf(frame, SIGNATURE_BYTES);
        if (!MessageDigest.isEqual(signature, computeSignature(payload))) {
            throw MartenwellException.of(ErrorKind.BAD_FRAME, "The frame is not authentic.");
        }
        sequenceNumber++;
        return payload;
    }

    private byte[] computeSignature(byte[] payload) {
        byte[] signed =
                ByteBuffer.allocate(NONCE_BYTES + Long.BYTES + payload.length)
                        .put(nonce)
                        .putLong(sequenceNumber)
                        .put(payload)
                        .array();
        return signer.hashBytes(signed).asBytes();
    }
}
