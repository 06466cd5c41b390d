package org.martenwell.exchange;

import io.netty.handler.codec.http.HttpMethod;
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

    /** Set if the requests have the method HEAD. */
    private boolean headOnly;

    /** Creates the history of a new connection. */
    ConnectionHistory() {}

    /**
     * Adds a request.
     *
     * @param method The method, which the connection allows.
     * @param id The id that its responses name, or empty if they name none.
     */
    void add(HttpMethod method, Optional<String> id) {
        requests++;
        headOnly = method.equals(HttpMethod.HEAD);
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

    /**
     * Returns whether the connection can carry a request with a method. Responses to HEAD have no
     * body whatever their heads state, so the end of a second response to a request is known only
     * among requests that are HEAD all, or none of them.
     *
     * @param method The method.
     * @return {@code false} if the end of a second response would not be known.
     */
    boolean allows(HttpMethod method) {
        return requests == 0 || headOnly == method.equals(HttpMethod.HEAD);
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
