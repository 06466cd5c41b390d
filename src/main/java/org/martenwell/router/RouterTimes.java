package org.martenwell.router;

/**
 * How often a router does what it does now and then.
 *
 * @param countersMillis How often changed counters go to peers, in milliseconds.
 * @param maintainMillis How often grants are checked for losses, in milliseconds.
 * @param meterMillis How often service is counted by time, in milliseconds.
 * @param pollMillis How often kept targets are asked for their load, in milliseconds.
 */
public record RouterTimes(
        long countersMillis, long maintainMillis, long meterMillis, long pollMillis) {

    /** The times in use unless a test says otherwise. */
    public static final RouterTimes DEFAULTS = new RouterTimes(500, 1_000, 250, 500);
}
