package org.martenwell.balance;

/** A request as a {@link SimulatedEngine} runs it. */
interface SimulatedRequest {

    /** Returns the size of the response, in tokens. */
    int responseTokens();

    /** Called when the prefill has ended and the first event has been produced. */
    void firstEventArrived();

    /** Called at each later event. */
    void eventArrived();

    /** Called at the end of the response. */
    void ended();

    /** Called when the engine was lost. */
    void lost();
}
