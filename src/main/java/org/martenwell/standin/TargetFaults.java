package org.martenwell.standin;

/**
 * How a stand-in target misbehaves.
 *
 * @param refuse {@code true} to refuse every request before it starts.
 * @param leaving {@code true} to report that it takes no new work, and refuse it.
 * @param dropAfterEvents Breaks connections after so many events, or 0 for never.
 * @param drops How many connections to break.
 * @param silent {@code true} to run requests but never answer.
 */
public record TargetFaults(
        boolean refuse, boolean leaving, int dropAfterEvents, int drops, boolean silent) {

    /** No misbehaviour. */
    public static final TargetFaults NONE = new TargetFaults(false, false, 0, 0, false);

    /**
     * Returns faults with one connection fewer to break.
     *
     * @return The faults.
     */
    TargetFaults dropped() {
        return new TargetFaults(refuse, leaving, dropAfterEvents, drops - 1, silent);
    }
}
