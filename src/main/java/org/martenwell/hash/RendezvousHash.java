package org.martenwell.hash;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Highest-random-weight hashing (Thaler and Ravishankar 1998): each item goes to its best scorers.
 */
public final class RendezvousHash {

    /** Not instantiated. */
    private RendezvousHash() {}

    /**
     * Returns the score of a candidate for an item.
     *
     * @param candidate The candidate's name.
     * @param item The item's name.
     * @return The score; the greatest wins.
     */
    public static long score(String candidate, String item) {
        return hash(candidate + '\u0000' + item);
    }

    /**
     * Returns the score of a candidate for an item that is known by its hash.
     *
     * @param candidate The candidate's name.
     * @param item The item's hash.
     * @return The score; the greatest wins.
     */
    public static long score(String candidate, long item) {
        return score(candidate, Long.toHexString(item));
    }

    /**
     * Returns the score of a candidate for an item, both known by their hashes.
     *
     * @param candidate The candidate's hash.
     * @param item The item's hash.
     * @return The score; the greatest wins.
     */
    public static long score(long candidate, long item) {
        byte[] both = ByteBuffer.allocate(2 * Long.BYTES).putLong(candidate).putLong(item).array();
        return MurmurHash3.hash128x64(both)[0];
    }

    /**
     * Hashes a text.
     *
     * @param text The text.
     * @return The first half of its 128-bit MurmurHash3.
     */
    public static long hash(String text) {
        return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
    }

    /**
     * Returns the best candidates.
     *
     * @param candidates The candidates.
     * @param count How many to return at most.
     * @param score Tells a candidate's score.
     * @param <T> The type of the candidates.
     * @return The candidates, the best first.
     */
    public static <T> List<T> best(List<T> candidates, int count, ToLongFunction<T> score) {
        return candidates.stream()
                .sorted(Comparator.comparingLong(score).reversed())
                .limit(count)
                .toList();
    }
}
