package org.martenwell.schedule;

/**
 * What a keeper was last told of a queue.
 *
 * @param waiting How many requests wait, at most the limit that is told.
 * @param urgentSince Since when the first one is urgent.
 */
record ToldDemand(int waiting, long urgentSince) {

    /** Nothing waits. */
    static final ToldDemand NOTHING = new ToldDemand(0, 0);

    /**
     * Returns whether a keeper has to be told again.
     *
     * @param current What is the case now.
     * @param headChangeMillis How far the first request may move untold, in milliseconds.
     * @return {@code true} if it has.
     */
    boolean differs(ToldDemand current, long headChangeMillis) {
        boolean moved = Math.abs(current.urgentSince - urgentSince) > headChangeMillis;
        return waiting != current.waiting || (current.waiting > 0 && moved);
    }

    /**
     * Builds the message about a queue.
     *
     * @param key The queue.
     * @param now The time.
     * @return The message.
     */
    Demand message(QueueKey key, long now) {
        long urgency = waiting == 0 ? 0 : now - urgentSince;
        return new Demand(key.pool(), key.organisation(), waiting, urgency);
    }
}
