package org.martenwell.balance;

/** The clock of a simulation. */
interface SimulationClock {

    /** Returns the time in milliseconds. */
    double now();

    /** Runs an action at a time in milliseconds. */
    void schedule(double at, Runnable action);
}
