package org.martenwell.router;

/**
 * Intervals of a router's periodic tasks.
 *
 * @param countersMillis The interval between broadcasts of changed service counters, in
 *     milliseconds.
 * @param maintainMillis The interval between checks for lost grants, in milliseconds.
 * @param meterMillis The interval at which service is recorded by elapsed time, in milliseconds.
 * @param pollMillis The interval between load polls of coordinated targets, in milliseconds.
 */
public record RouterIntervals(
        long countersMillis, long maintainMillis, long meterMillis, long pollMillis) {

    /** The default intervals. */
    public static final RouterIntervals DEFAULTS = new RouterIntervals(500, 1_000, 250, 500);
}
