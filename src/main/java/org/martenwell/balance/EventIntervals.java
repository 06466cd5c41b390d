package org.martenwell.balance;

import java.util.Arrays;
import java.util.OptionalDouble;

/**
 * The times between the events of one response. Their lower quartile shows the speed of an engine:
 * whatever else delays events, such as the prefill of another prompt or a slow network, makes an
 * interval longer. A response has dozens of events, so that a few responses show the speed of an
 * engine, also of one that always has a backlog.
 */
public final class EventIntervals {

    /** The number of intervals of which the quartile is taken. */
    static final int GROUP = 6;

    /** The index of the lower quartile in an ordered group. */
    private static final int QUARTILE = GROUP / 4;

    /**
     * The shortest interval that counts, in milliseconds. Events that were delivered together are
     * closer.
     */
    private static final long MIN_MILLIS = 5;

    private final long[] millis = new long[GROUP];

    private int count;

    /** The time of the last event, in milliseconds, negative before the first. */
    private long lastMillis = -1;

    /** Creates the intervals of a response without events. */
    public EventIntervals() {}

    /**
     * Records the arrival of an event.
     *
     * @param now The time, in milliseconds.
     * @return The lower quartile of a group of intervals that this event completes, in
     *     milliseconds.
     */
    public OptionalDouble received(long now) {
        long interval = now - lastMillis;
        boolean first = lastMillis < 0;
        lastMillis = now;
        if (first || interval < MIN_MILLIS) {
            return OptionalDouble.empty();
        }
        millis[count] = interval;
        count++;
        if (count < GROUP) {
            return OptionalDouble.empty();
        }
        count = 0;
        Arrays.sort(millis);
        return OptionalDouble.of((double) millis[QUARTILE]);
    }
}
