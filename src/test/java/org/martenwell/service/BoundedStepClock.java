package org.martenwell.service;

import io.activej.common.time.CurrentTimeProvider;

/**
 * A clock that advances with the system's, but by at most some milliseconds between two readings.
 * An event loop reads it in each turn, so that many turns lie within any timeout: what had been
 * sent has been received by then, however slow the machine is.
 */
public final class BoundedStepClock implements CurrentTimeProvider {

    private volatile long maxStepMillis;

    private long systemMillis = System.currentTimeMillis();

    private volatile long millis = systemMillis;

    /** Creates a clock with the most that it advances between two readings, in milliseconds. */
    public BoundedStepClock(long maxStepMillis) {
        this.maxStepMillis = maxStepMillis;
    }

    /** Changes the most that the clock advances between two readings, in milliseconds. */
    public void setMaxStepMillis(long changed) {
        maxStepMillis = changed;
    }

    /** Returns the time of the last reading by the event loop, in milliseconds. */
    public long lastMillis() {
        return millis;
    }

    @Override
    public long currentTimeMillis() {
        long now = System.currentTimeMillis();
        long advanced = millis + Math.max(0, Math.min(maxStepMillis, now - systemMillis));
        millis = advanced;
        systemMillis = now;
        return advanced;
    }
}
