package org.martenwell.gateway;

import java.util.HashSet;
import java.util.Set;

/** To which targets a request was sent, and whether one of them may have run it. */
final class SendHistory {

    /** How often a target may be unreachable before the request is given up. */
    private static final int MAX_UNREACHABLE = 3;

    /** The ids of the targets that were tried. */
    private final Set<String> tried = new HashSet<>();

    /** To how many targets the request was sent. */
    private int attempts;

    /** How many targets were not reachable. */
    private int unreachable;

    /** Whether a target may have run the request. */
    private boolean mayHaveRun;

    /** Creates the history of a request that was not sent yet. */
    SendHistory() {}

    /**
     * Notes that the request is sent to a target.
     *
     * @param target The target's id.
     * @return {@code true} if it was never sent before.
     */
    boolean begin(String target) {
        // The count of attempts falls to zero again behind a target that was not reached; taken for
        // a new request each time, one earned up to four times the retries that it may.
        boolean first = tried.isEmpty();
        attempts++;
        tried.add(target);
        return first;
    }

    /** Takes back that the request was sent, since nothing of it was. */
    void notSent() {
        attempts--;
    }

    /** Takes back that the request was sent, since its target was not reachable. */
    void connectFailed() {
        notSent();
        unreachable++;
    }

    /** Notes that a target may have run the request. */
    void ran() {
        mayHaveRun = true;
    }

    /**
     * Returns the ids of the targets that were tried.
     *
     * @return The ids, also of those to which nothing was sent in the end.
     */
    Set<String> tried() {
        return tried;
    }

    /**
     * Returns to how many targets the request was sent.
     *
     * @return The number of targets.
     */
    int attempts() {
        return attempts;
    }

    /**
     * Tells whether another target may be tried behind those that were not reachable.
     *
     * @return {@code true} if there were few of them.
     */
    boolean mayTryFurther() {
        return unreachable <= MAX_UNREACHABLE;
    }

    /**
     * Tells whether a target may have run the request.
     *
     * @return {@code true} unless it is known that none has.
     */
    boolean mayHaveRun() {
        return mayHaveRun;
    }
}
