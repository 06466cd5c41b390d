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
 * Finds the organisation of an API key by the key's hash. Hashes are compared in constant time
 * within a bucket, so that the time of a lookup reveals nothing about other keys.
 */
final class KeyTable {

    /** The entries by the first byte of the hash. */
    private final Map<Byte, List<Entry>> buckets = new HashMap<>();

    private KeyTable() {}

    /**
     * Creates a table of the keys of all organisations.
     *
     * @param organisations The organisations with the hashes of their keys.
     * @return The table.
     */
    static KeyTable of(List<Organisation> organisations) {
        KeyTable table = new KeyTable();
        for (Organisation organisation : organisations) {
            for (String hexHash : organisation.keyHashes()) {
                byte[] hash = BaseEncoding.base16().lowerCase().decode(hexHash);
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
     * @param key The key as the caller sent it, one character per byte.
     * @return The organisation, or empty if the key is unknown.
     */
    Optional<Organisation> find(String key) {
        byte[] hash = DigestUtils.sha256(key.getBytes(StandardCharsets.ISO_8859_1));
        Optional<Organisation> found = Optional.empty();
        for (Entry entry : buckets.getOrDefault(hash[0], List.of())) {
            if (MessageDigest.isEqual(entry.hash, hash)) {
                found = Optional.of(entry.organisation);
            }
        }
        return found;
    }

    private static final class Entry {

        private final byte[] hash;

        private final Organisation organisation;

        private Entry(byte[] hash, Organisation organisation) {
            this.hash = hash;
            this.organisation = organisation;
        }
    }
}
