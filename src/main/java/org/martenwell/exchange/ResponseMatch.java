package org.martenwell.exchange;

import java.util.Optional;

/** What the id in a response says of the request that awaits a response on its connection. */
public enum ResponseMatch {

    /** The response is that to the request. */
    SAME(true) {
        @Override
        boolean accepted(int requests) {
            return true;
        }
    },

    /**
     * The request or the response has no id. The response is that to the request if the connection
     * has carried no other one.
     */
    UNIDENTIFIED(false) {
        @Override
        boolean accepted(int requests) {
            return requests == 1;
        }
    },

    /** The response names another request. */
    OTHER(false) {
        @Override
        boolean accepted(int requests) {
            return false;
        }
    };

    private final boolean reusable;

    /**
     * Creates a match.
     *
     * @param reusable {@code true} if the connection can carry another request behind the response.
     */
    ResponseMatch(boolean reusable) {
        this.reusable = reusable;
    }

    /**
     * Compares the ids of a request and of a response.
     *
     * @param request The id that responses to the request name, or empty if it has none.
     * @param response The id that the response names, or empty if it names none.
     * @return The match.
     */
    public static ResponseMatch of(Optional<String> request, Optional<String> response) {
        if (request.isEmpty() || response.isEmpty()) {
            return UNIDENTIFIED;
        }
        return response.equals(request) ? SAME : OTHER;
    }

    /**
     * Returns whether the response is given to the request.
     *
     * @param requests The requests that the connection has carried, including this one.
     * @return {@code false} if the response is discarded.
     */
    abstract boolean accepted(int requests);

    /** {@return {@code true} if the connection can carry another request behind the response} */
    boolean reusable() {
        return reusable;
    }
}
