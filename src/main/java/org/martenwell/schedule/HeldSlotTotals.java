package org.martenwell.schedule;

/** Totals of the slots of one class that a router holds at one target in one coordinator term. */
final class HeldSlotTotals {

    /** Total number of slots granted, as last received. */
    private long acknowledged;

    /** Total number of slots released. */
    private long released;

    /** Number of slots that no request uses. */
    private int idle;

    /** Creates totals of zero. */
    HeldSlotTotals() {}

    /**
     * Applies a grant. Outdated totals have no effect.
     *
     * @param total The total number of slots granted in this term.
     * @return The number of slots that are new.
     */
    int receive(long total) {
        int newSlots = (int) Math.max(0, total - acknowledged);
        acknowledged += newSlots;
        idle += newSlots;
        return newSlots;
    }

    /**
     * Takes an idle slot into use.
     *
     * @return {@code false} if no slot is idle.
     */
    boolean use() {
        if (idle == 0) {
            return false;
        }
        idle--;
        return true;
    }

    /** Releases a slot that was in use. */
    void release() {
        released++;
    }

    /**
     * Releases all idle slots.
     *
     * @return The number of slots released.
     */
    int releaseIdle() {
        int count = idle;
        released += count;
        idle = 0;
        return count;
    }

    /** {@return the total number of slots granted, as last received} */
    long acknowledged() {
        return acknowledged;
    }

    /** {@return the total number of slots released} */
    long released() {
        return released;
    }

    /** {@return the number of slots that no request uses} */
    int idle() {
        return idle;
    }
}
