package org.martenwell.quarantine;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Events at simulated times. Those at the same time run in the order in which they were scheduled.
 */
final class SimulatedEvents {

    private record Event(long at, long order, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparing(Event::order));

    private long now;

    private long order;

    /** {@return the simulated time in milliseconds} */
    long now() {
        return now;
    }

    void schedule(long atMillis, Runnable action) {
        events.add(new Event(atMillis, order++, action));
    }

    /** Runs all events before a time, also those that are scheduled meanwhile. */
    void runUntil(long endMillis) {
        while (!events.isEmpty() && events.peek().at() < endMillis) {
            Event next = events.poll();
            now = next.at();
            next.action().run();
        }
    }
}
