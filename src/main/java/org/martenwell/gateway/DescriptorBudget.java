package org.martenwell.gateway;

import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Divides the file descriptors of the process. Without a limit, idle callers use up all of them,
 * and the gateway can open no connection to a target, a peer or the directory.
 */
final class DescriptorBudget {

    /** The fraction of all descriptors that callers' connections may use. */
    private static final double CALLER_FRACTION = 0.7;

    private DescriptorBudget() {}

    /**
     * Returns the most connections that callers may have open.
     *
     * @param descriptors The limit of the process, empty if it is unknown.
     * @return The number, at least 1, or empty if there is no known limit.
     */
    static OptionalInt maxCallers(OptionalLong descriptors) {
        if (descriptors.isEmpty()) {
            return OptionalInt.empty();
        }
        double callers = Math.floor(CALLER_FRACTION * descriptors.getAsLong());
        return OptionalInt.of((int) Math.min(Integer.MAX_VALUE, Math.max(1, callers)));
    }
}
