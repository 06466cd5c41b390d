package org.martenwell.schedule;

/** Start of a request at a target. The handle is private to the scheduler. */
record RequestStart(int router, WaitingRequest request, String target, Object handle) {}
