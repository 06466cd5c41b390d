package org.martenwell.version;

import org.martenwell.hash.RendezvousHash;

/**
 * The version at which a stream began.
 *
 * @param attempt The key of the attempt that brought the first event, see {@link #key}.
 * @param version The version of the target that produced it.
 */
public record StreamOrigin(long attempt, ServiceVersion version) {

    /**
     * Returns the key of an attempt.
     *
     * @param attempt The id that the caller gave to the attempt.
     * @return A hash of the id.
     */
    public static long key(String attempt) {
        return RendezvousHash.hash(attempt);
    }
}
