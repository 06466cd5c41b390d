package org.martenwell.schedule;

import java.util.List;

/** A way to schedule, driven step by step by {@link Trial}. */
interface TrialScheduler {

    /** A request arrived at a router. */
    void arrived(int router, WaitingRequest request, long now);

    /** A request that started is over. */
    void finished(TrialStart start, long now);

    /** A router saw service. */
    void served(int router, String organisation, double units);

    /** Makes one step and returns what starts now. */
    List<TrialStart> step(long now);
}
