package org.martenwell.balance;

/** An engine of {@link PlacementSimulation}. */
interface SimulatedEngine {

    /** Accepts a request, or returns {@code false} if the queue is full or the engine lost. */
    boolean accept(SimulatedRequest request, long prefillTokens);

    /** Returns {@code true} if the engine has no request. */
    boolean idle();

    /** Returns the tokens whose prefill has not finished. */
    long tokensAhead();

    /** Returns {@code true} if the prefill of a long prompt has not finished. */
    boolean hasLongPrefill();

    /** Ends the engine and all of its requests. */
    void lose();
}
