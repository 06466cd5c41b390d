package org.martenwell.configuration;

import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Finds the organisation of a caller's key. The key is hashed first; the hash selects a bucket, and
 * hashes within the bucket are compared in constant time, so that time tells nothing about a key.
 */
final class KeyTable {

    /** The entries by the first byte of the hash. */
    private final Map<Byte, List<Entry>> buckets = new HashMap<>();

    /** Created by {@link #of}. */
    private KeyTable() {}

    /**
     * Creates a table.
     *
     * @param organisations The organisations with the hashes of their keys.
     * @return The table.
     */
    static KeyTable of(List<Organisation> organisations) {
        KeyTable table = new KeyTable();
        for (Organisation organisation : organisations) {
            for (String hexadecimal : organisation.keyHashes()) {
                byte[] hash = BaseEncoding.base16().lowerCase().decode(hexadecimal);
                table.buckets
                        .computeIfAbsent(hash[0], first -> new ArrayList<>())
                        .add(new Entry(hash, organisation));
            }
        }
        return table;
    }

    /**
     * Finds the organisation of a key.
     *
     * @param key The key.
     * @return The organisation.
     */
    Optional<Organisation> find(String key) {
        byte[] hash = DigestUtils.sha256(key.getBytes(StandardCharsets.UTF_8));
        Optional<Organisation> found = Optional.empty();
        for (Entry entry : buckets.getOrDefault(hash[0], List.of())) {
            if (MessageDigest.isEqual(entry.hash, hash)) {
                found = Optional.of(entry.organisation);
            }
        }
        return found;
    }

    /** One key's hash and its owner. */
    private static final class Entry {

        /** The key's hash. */
        private final byte[] hash;

        /** The key's owner. */
        private final Organisation organisation;

        /**
         * Creates an entry.
         *
         * @param hash The key's hash.
         * @param organisation The key's owner.
         */
        private Entry(byte[] hash, Organisation organisation) {
            this.hash = hash;
            this.organisation = organisation;
        }
    }
}
