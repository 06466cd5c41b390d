package org.martenwell.schedule;

/** A router's account of its slots of one class at one target, from one keeper. */
final class HeldTotals {

    /** The total granted, as far as seen. */
    private long seen;

    /** The total given back. */
    private long released;

    /** The slots that no request uses. */
    private int idle;

    /** Creates an empty account. */
    HeldTotals() {}

    /**
     * Takes in a grant.
     *
     * @param total The total granted.
     * @return How many slots are new.
     */
    int receive(long total) {
        int fresh = (int) Math.max(0, total - seen);
        seen += fresh;
        idle += fresh;
        return fresh;
    }

    /**
     * Takes an idle slot into use.
     *
     * @return {@code true} if there was one.
     */
    boolean use() {
        if (idle == 0) {
            return false;
        }
        idle--;
        return true;
    }

    /** Gives back a slot that was in use. */
    void release() {
        released++;
    }

    /**
     * Gives back all idle slots.
     *
     * @return How many there were.
     */
    int releaseIdle() {
        int count = idle;
        released += count;
        idle = 0;
        return count;
    }

    /**
     * Returns the total granted, as far as seen.
     *
     * @return The total.
     */
    long seen() {
        return seen;
    }

    /**
     * Returns the total given back.
     *
     * @return The total.
     */
    long released() {
        return released;
    }

    /**
     * Returns the slots that no request uses.
     *
     * @return The number of slots.
     */
    int idle() {
        return idle;
    }
}
