package org.martenwell.router;

import java.util.HashSet;
import java.util.Set;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/** The unanswered requests of which bytes may have been sent to a target, by their ids. */
public final class SentRequests {

    private final Set<String> ids = new HashSet<>();

    private boolean closed;

    /** Creates an instance without requests. */
    SentRequests() {}

    /**
     * Records that bytes of a request may be sent from now on.
     *
     * @param id The request's id.
     * @return {@code false} if it must not be sent any more.
     */
    boolean add(String id) {
        if (!closed) {
            ids.add(id);
        }
        return !closed;
    }

    /** Lets no further request be sent, since all that were not are reported as not run. */
    public void close() {
        closed = true;
    }

    /**
     * Removes a request whose response has begun.
     *
     * @param id The request's id.
     */
    public void remove(String id) {
        ids.remove(id);
    }

    /**
     * Returns the failure of a request that the router can't wait for since it stops. Only one of
     * which nothing was sent is reported as not run.
     *
     * @param id The request's id.
     * @return The failure.
     */
    public MartenwellException failureAtStop(String id) {
        if (ids.contains(id)) {
            return MartenwellException.of(
                    ErrorKind.INTERNAL, "The router stops before the target's response.");
        }
        return Readiness.stopping();
    }
}
