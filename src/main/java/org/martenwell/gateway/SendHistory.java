package org.martenwell.gateway;

import java.util.HashSet;
import java.util.Set;

/** Attempts of one request: the targets that were tried and whether one may have run it. */
final class SendHistory {

    /** The number of unreachable targets up to which the request tries another one. */
    private static final int MAX_UNREACHABLE = 3;

    private final Set<String> triedTargets = new HashSet<>();

    private int attempts;

    /** The attempts that another gateway may have made. */
    private int offloadedAttempts;

    private int unreachable;

    /**
     * The time from the request's arrival until it was handed to the last connection, in
     * milliseconds, negative if it was not.
     */
    private long writtenAtMillis = -1;

    /** The requests that the last connection had carried before, 0 before the first attempt. */
    private int earlierRequests;

    private boolean mayHaveRun;

    /** Creates the history of a request that was not sent yet. */
    SendHistory() {}

    /**
     * Records an attempt at a target.
     *
     * @param target The target's id.
     * @return {@code true} if it is the request's first attempt.
     */
    boolean recordAttempt(String target) {
        // Doesn't use the number of attempts, since withdrawn attempts lower it. A request that
        // counts as new more than once would add too much to the retry budget.
        boolean first = triedTargets.isEmpty() && offloadedAttempts == 0;
        attempts++;
        triedTargets.add(target);
        return first;
    }

    /**
     * Records that the request was handed to another gateway that was lost.
     *
     * @param count The number of targets that it may have been sent to, 0 if it has not run.
     */
    void recordOffloaded(int count) {
        attempts = count;
        offloadedAttempts = count;
        mayHaveRun = count > 0;
    }

    /**
     * Records that the request was handed to a connection.
     *
     * @param elapsedMillis The time since the request arrived, in milliseconds.
     * @param carried The requests that the connection had carried before.
     */
    void recordWritten(long elapsedMillis, int carried) {
        writtenAtMillis = elapsedMillis;
        earlierRequests = carried;
    }

    /** {@return the requests that the connection of the last attempt had carried before} */
    int earlierRequests() {
        return earlierRequests;
    }

    /**
     * {@return the time from the request's arrival until it was handed to the last connection, in
     * milliseconds, negative if it was not}
     */
    long writtenAtMillis() {
        return writtenAtMillis;
    }

    /** Withdraws the last attempt, of which no byte was sent. */
    void withdrawAttempt() {
        attempts--;
    }

    /** Withdraws the last attempt because its target could not be reached. */
    void recordUnreachable() {
        withdrawAttempt();
        unreachable++;
    }

    /** Records that a target may have run the request. */
    void markPossiblyRun() {
        mayHaveRun = true;
    }

    /**
     * Returns the targets that were tried.
     *
     * @return The ids of the targets, including those of withdrawn attempts.
     */
    Set<String> triedTargets() {
        return triedTargets;
    }

    /**
     * Returns the number of attempts.
     *
     * @return The number of attempts, without those that were withdrawn.
     */
    int attempts() {
        return attempts;
    }

    /**
     * Returns whether the request may try another target after unreachable ones.
     *
     * @return {@code false} if too many targets were unreachable.
     */
    boolean mayTryAnotherTarget() {
        return unreachable <= MAX_UNREACHABLE;
    }

    /**
     * Returns whether a target may have run the request.
     *
     * @return {@code false} if no target can have run it.
     */
    boolean mayHaveRun() {
        return mayHaveRun;
    }
}
