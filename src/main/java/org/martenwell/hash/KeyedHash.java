package org.martenwell.hash;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Creates SipHash-2-4 functions whose results cannot be predicted without the key. */
public final class KeyedHash {

    private KeyedHash() {}

    /**
     * Creates a function whose 128-bit SipHash key is taken from the SHA-256 digest of the given
     * key.
     *
     * @param key The key, of any length.
     * @return The keyed function.
     */
    public static HashFunction of(String key) {
        byte[] digest = Hashing.sha256().hashString(key, StandardCharsets.UTF_8).asBytes();
        ByteBuffer secret = ByteBuffer.wrap(digest);
        return Hashing.sipHash24(secret.getLong(), secret.getLong());
    }
}
