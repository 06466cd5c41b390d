package org.martenwell.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Events at simulated times. Those at the same time run in the order in which they were scheduled.
 */
public final class SimulatedEvents {

    private record Event(double at, long order, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparing(Event::order));

    private double now;

    private long order;

    /** {@return the simulated time in milliseconds} */
    public double now() {
        return now;
    }

    /** {@return the simulated time in whole milliseconds, rounded down} */
    public long nowMillis() {
        return (long) now;
    }

    /**
     * Schedules an event.
     *
     * @param at The time in milliseconds.
     * @param action The event.
     */
    public void schedule(double at, Runnable action) {
        events.add(new Event(at, order++, action));
    }

    /**
     * Schedules an event at a whole time.
     *
     * @param at The time in milliseconds.
     * @param action The event.
     */
    public void schedule(long at, Runnable action) {
        schedule((double) at, action);
    }

    /**
     * Schedules an event that repeats at a constant interval before a time.
     *
     * @param at The time of the first event, in milliseconds.
     * @param interval The interval in milliseconds.
     * @param end The time before which all of these events lie, in milliseconds.
     * @param action The event.
     */
    public void repeat(double at, long interval, double end, Runnable action) {
        if (at < end) {
            schedule(
                    at,
                    () -> {
                        action.run();
                        repeat(at + interval, interval, end, action);
                    });
        }
    }

    /** Runs all events, also those that are scheduled meanwhile. */
    public void run() {
        runUntil(Double.POSITIVE_INFINITY);
    }

    /**
     * Runs all events before a time, also those that are scheduled meanwhile.
     *
     * @param end The time in milliseconds.
     */
    public void runUntil(double end) {
        while (!events.isEmpty() && events.peek().at() < end) {
            Event next = events.poll();
            now = next.at();
            next.action().run();
        }
    }
}
