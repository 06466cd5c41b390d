package org.martenwell.service;

/** Blocks event loops in tests, like a garbage collection or a box without processor time. */
public final class BusyLoop {

    private BusyLoop() {}

    /** Blocks the calling thread. */
    public static void block(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new AssertionError(exception);
        }
    }
}
