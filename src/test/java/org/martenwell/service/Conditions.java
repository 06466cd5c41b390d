package org.martenwell.service;

import java.util.function.BooleanSupplier;

/** Waits in tests until asynchronous conditions hold. */
public final class Conditions {

    /** The maximum number of checks, which allows 30 s in total for slow machines. */
    private static final int MAX_CHECKS = 3_000;

    private static final long CHECK_INTERVAL_MILLIS = 10;

    private Conditions() {}

    /** Blocks until a condition holds, or fails the test. */
    public static void await(BooleanSupplier condition) {
        for (int check = 0; check < MAX_CHECKS; check++) {
            if (condition.getAsBoolean()) {
                return;
            }
            try {
                Thread.sleep(CHECK_INTERVAL_MILLIS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                throw new AssertionError(exception);
            }
        }
        throw new AssertionError("The condition did not hold within 30 s.");
    }
}
