package org.martenwell.schedule;

/** Is told of the decisions of a keeper. */
@FunctionalInterface
public interface GrantListener {

    /** Ignores all decisions. */
    GrantListener NO_OP = decision -> {};

    /**
     * Called after a slot was granted to an organisation.
     *
     * @param decision The decision.
     */
    void granted(GrantDecision decision);
}
