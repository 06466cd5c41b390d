package org.martenwell.quarantine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Queue of updates to send to peers. Each update is sent several times, because reports that are
 * lost with a connection aren't sent again.
 */
final class UpdateQueue {

    /** The delay of each transmission of an update after it was queued, in milliseconds. */
    private static final long[] SEND_DELAYS_MILLIS = {0, 500, 2_000};

    /** The most updates in a report; bounds its size after many targets crash at once. */
    private static final int MAX_UPDATES_PER_REPORT = 256;

    /** The queued updates, indexed by the number of times that they were sent. */
    private final List<Deque<Due>> due = new ArrayList<>();

    /**
     * A queued update.
     *
     * @param update The update.
     * @param queuedMillis The time at which it was added, in milliseconds.
     */
    private record Due(QuarantineUpdate update, long queuedMillis) {}

    /** Creates an empty queue. */
    UpdateQueue() {
        for (int sent = 0; sent < SEND_DELAYS_MILLIS.length; sent++) {
            due.add(new ArrayDeque<>());
        }
    }

    /**
     * Queues an update.
     *
     * @param update The update.
     * @param now The current time, in milliseconds.
     */
    void add(QuarantineUpdate update, long now) {
        due.get(0).add(new Due(update, now));
    }

    /**
     * Takes the updates that are due and schedules their next transmission.
     *
     * @param now The current time, in milliseconds.
     * @return The updates, those that were never sent first.
     */
    List<QuarantineUpdate> take(long now) {
        List<QuarantineUpdate> taken = new ArrayList<>();
        for (int sent = 0; sent < SEND_DELAYS_MILLIS.length; sent++) {
            Deque<Due> updates = due.get(sent);
            long queuedBefore = now - SEND_DELAYS_MILLIS[sent];
            while (taken.size() < MAX_UPDATES_PER_REPORT
                    && !updates.isEmpty()
                    && updates.peek().queuedMillis() <= queuedBefore) {
                Due each = updates.poll();
                taken.add(each.update());
                if (sent + 1 < SEND_DELAYS_MILLIS.length) {
                    due.get(sent + 1).add(each);
                }
            }
        }
        return taken;
    }
}
