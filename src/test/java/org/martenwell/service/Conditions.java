package org.martenwell.service;

import java.util.function.BooleanSupplier;

/** Waits in tests for what comes in its own time. */
public final class Conditions {

    /** How often a condition is looked at before a test fails: as often as a slow machine needs. */
    private static final int MAX_LOOKS = 3_000;

    /** How long it is from look to look, in milliseconds. */
    private static final long LOOK_MILLIS = 10;

    private Conditions() {}

    /** Waits until a condition holds. */
    public static void await(BooleanSupplier condition) {
        for (int look = 0; look < MAX_LOOKS; look++) {
            if (condition.getAsBoolean()) {
                return;
            }
            try {
                Thread.sleep(LOOK_MILLIS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                throw new AssertionError(exception);
            }
        }
        throw new AssertionError("It did not come.");
    }
}
