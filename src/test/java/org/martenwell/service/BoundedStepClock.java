package org.martenwell.service;

import io.activej.common.time.CurrentTimeProvider;

/**
 * A clock that advances with the system's, but by at most a few milliseconds between two readings.
 * An event loop reads it in each turn, so that many turns lie within any timeout: what peers on the
 * same loop sent has been received by then, however slow the machine is.
 */
public final class BoundedStepClock implements CurrentTimeProvider {

    /** The most that the clock advances between two readings, in milliseconds. */
    private static final long MAX_STEP_MILLIS = 4;

    private long systemMillis = System.currentTimeMillis();

    private long millis = systemMillis;

    @Override
    public long currentTimeMillis() {
        long now = System.currentTimeMillis();
        millis += Math.max(0, Math.min(MAX_STEP_MILLIS, now - systemMillis));
        systemMillis = now;
        return millis;
    }
}
