package org.martenwell.standin;

/**
 * The faults injected by a platform stand-in.
 *
 * @param down {@code true} to close the connection of every call.
 * @param slowMillis The delay of every call, in milliseconds.
 * @param lostReplies The number of subsequent writes that take effect without a response.
 */
public record PlatformFaults(boolean down, long slowMillis, int lostReplies) {

    /** No faults. */
    public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0);
}
