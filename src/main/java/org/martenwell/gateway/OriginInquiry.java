package org.martenwell.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Search for the version of one stream among this gateway's peers. */
final class OriginInquiry {

    /** The attempt that brought the first event, empty if the caller names none. */
    private final Optional<Long> attempt;

    private final InquiryScope scope;

    /** The peers that answered that they don't know the stream. */
    private final Set<String> deniers = new HashSet<>();

    private final Set<String> asked = new HashSet<>();

    /** The number of rounds for which the search lasts at the most. */
    private final int maxRounds;

    /** The rounds in which peers were asked. */
    private int rounds;

    /**
     * Creates a search in which nobody was asked yet.
     *
     * @param attempt The key of the attempt, empty if the caller names none.
     * @param scope The peers to ask.
     * @param maxRounds The number of rounds for which the search lasts at the most.
     */
    OriginInquiry(Optional<Long> attempt, InquiryScope scope, int maxRounds) {
        this.attempt = attempt;
        this.scope = scope;
        this.maxRounds = maxRounds;
    }

    /** {@return the key of the attempt, empty if the caller names none} */
    Optional<Long> attempt() {
        return attempt;
    }

    /** {@return the peers to ask} */
    InquiryScope scope() {
        return scope;
    }

    /** Ends a round. */
    void nextRound() {
        rounds++;
    }

    /**
     * Returns whether rounds have ended.
     *
     * @param count The number of rounds.
     * @return {@code true} if as many have.
     */
    boolean hasLasted(int count) {
        return rounds >= count;
    }

    /** {@return {@code true} if no more rounds are due} */
    boolean expired() {
        return rounds >= maxRounds;
    }

    /**
     * Records that a peer was asked.
     *
     * @param peer The peer's name.
     */
    void asked(String peer) {
        asked.add(peer);
    }

    /**
     * Records that a peer doesn't know the stream.
     *
     * @param peer The peer's name.
     */
    void denied(String peer) {
        deniers.add(peer);
    }

    /**
     * Returns whether a peer has not answered yet.
     *
     * @param peer The peer's name.
     * @return {@code true} if it has not.
     */
    boolean awaits(String peer) {
        return !deniers.contains(peer);
    }

    /**
     * Returns whether peers have answered.
     *
     * @param peers The peers that may know the stream.
     * @return {@code true} if all have.
     */
    boolean deniedBy(Set<String> peers) {
        return deniers.containsAll(peers);
    }

    /** {@return the number of peers that were asked} */
    int askedCount() {
        return asked.size();
    }

    /** {@return the number of peers that answered that they don't know the stream} */
    int deniedCount() {
        return deniers.size();
    }
}
