package org.martenwell.exchange;

import java.util.Arrays;
import java.util.Optional;

/**
 * The ids of the requests that a connection has carried. A target may respond to one of them again
 * at any later time, so they are kept as long as the connection. Ids are compared by their hashes:
 * another id of the same hash counts as carried.
 */
public final class ConnectionHistory {

    /** The most requests that a connection carries, which bounds the memory for their ids. */
    static final int MAX_REQUESTS = 1_024;

    private static final int INITIAL_CAPACITY = 4;

    private int[] hashes = new int[INITIAL_CAPACITY];

    private int identified;

    private int requests;

    /** Creates the history of a new connection. */
    ConnectionHistory() {}

    /**
     * Adds a request.
     *
     * @param id The id that its responses name, or empty if they name none.
     */
    void add(Optional<String> id) {
        requests++;
        if (id.isPresent()) {
            if (identified == hashes.length) {
                hashes = Arrays.copyOf(hashes, 2 * identified);
            }
            hashes[identified++] = id.get().hashCode();
        }
    }

    /** {@return the number of requests that the connection has carried} */
    public int requests() {
        return requests;
    }

    /** {@return {@code true} if the connection can carry no further request} */
    boolean full() {
        return requests >= MAX_REQUESTS;
    }

    /**
     * Returns whether the connection may have carried a request with an id.
     *
     * @param id The id.
     * @return {@code false} if it has carried none.
     */
    public boolean contains(String id) {
        int hash = id.hashCode();
        for (int index = 0; index < identified; index++) {
            if (hashes[index] == hash) {
                return true;
            }
        }
        return false;
    }
}
