package org.martenwell.schedule;

/** A request that starts at a target; the handle belongs to the scheduler. */
record TrialStart(int router, WaitingRequest request, String target, Object handle) {}
