package org.martenwell.schedule;

import java.util.List;

/** Scheduler under simulation, driven by {@link Simulation}. */
interface SimulatedScheduler {

    /** Called when a request arrives at a router. */
    void arrived(int router, WaitingRequest request, long now);

    /** Called when a started request has ended. */
    void finished(RequestStart start, long now);

    /** Called when a router has delivered service. */
    void served(int router, String organisation, double units);

    /** Advances by one step and returns the requests that start. */
    List<RequestStart> step(long now);
}
