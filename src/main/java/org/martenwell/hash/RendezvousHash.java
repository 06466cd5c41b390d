package org.martenwell.hash;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Rendezvous (highest-random-weight) hashing after Thaler and Ravishankar (1998). An item is
 * assigned to the candidates with the highest scores, so that adding or removing a candidate moves
 * only the items assigned to it.
 */
public final class RendezvousHash {

    private RendezvousHash() {}

    /**
     * Computes the score of a candidate for an item.
     *
     * @param candidate The candidate's name.
     * @param item The item's name.
     * @return The score; the candidate with the highest one is preferred.
     */
    public static long score(String candidate, String item) {
        return hash(candidate + '\u0000' + item);
    }

    /**
     * Computes the score of a candidate for an item given by its hash.
     *
     * @param candidate The candidate's name.
     * @param item The item's hash.
     * @return The score; the candidate with the highest one is preferred.
     */
    public static long score(String candidate, long item) {
        return score(candidate, Long.toHexString(item));
    }

    /**
     * Computes the score of a candidate for an item, both given by their hashes.
     *
     * @param candidate The candidate's hash.
     * @param item The item's hash.
     * @return The score; the candidate with the highest one is preferred.
     */
    public static long score(long candidate, long item) {
        byte[] bytes = ByteBuffer.allocate(2 * Long.BYTES).putLong(candidate).putLong(item).array();
        return MurmurHash3.hash128x64(bytes)[0];
    }

    /**
     * Hashes a text in its UTF-8 encoding.
     *
     * @param text The text.
     * @return The first 64 bits of its 128-bit MurmurHash3.
     */
    public static long hash(String text) {
        return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
    }

    /**
     * Returns the candidates with the highest scores.
     *
     * @param candidates The candidates.
     * @param count The largest number of candidates to return.
     * @param score Computes the score of a candidate.
     * @param <T> The type of the candidates.
     * @return At most {@code count} candidates, in descending order of their scores.
     */
    public static <T> List<T> best(List<T> candidates, int count, ToLongFunction<T> score) {
        return candidates.stream()
                .sorted(Comparator.comparingLong(score).reversed())
                .limit(count)
                .toList();
    }
}
