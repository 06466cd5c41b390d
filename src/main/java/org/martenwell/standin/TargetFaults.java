package org.martenwell.standin;

/**
 * The faults injected by a target stand-in.
 *
 * @param refuse {@code true} to refuse every request before starting it.
 * @param leaving {@code true} to report that the target is draining, and to refuse new requests.
 * @param dropAfterEvents The number of events after which a connection is broken, or 0 for never.
 * @param drops The remaining number of connections to break.
 * @param silent {@code true} to run requests but never respond.
 */
public record TargetFaults(
        boolean refuse, boolean leaving, int dropAfterEvents, int drops, boolean silent) {

    /** No faults. */
    public static final TargetFaults NONE = new TargetFaults(false, false, 0, 0, false);

    /** {@return a copy after a connection was broken} */
    TargetFaults dropped() {
        return new TargetFaults(refuse, leaving, dropAfterEvents, drops - 1, silent);
    }
}
