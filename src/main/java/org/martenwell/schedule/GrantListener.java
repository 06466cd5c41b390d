package org.martenwell.schedule;

/** Listener for the grant decisions of a coordinator. */
@FunctionalInterface
public interface GrantListener {

    /** A listener that ignores all decisions. */
    GrantListener NO_OP = decision -> {};

    /**
     * Called after a slot was granted to an organisation. Lent slots are not announced.
     *
     * @param decision The decision.
     */
    void granted(GrantDecision decision);
}
