package org.martenwell.standin;

/**
 * How a stand-in platform misbehaves.
 *
 * @param down {@code true} to break every call off.
 * @param slowMillis How long every call is held back, in milliseconds.
 * @param lostReplies How many of the next writes take effect without a reply.
 */
public record PlatformFaults(boolean down, long slowMillis, int lostReplies) {

    /** No misbehaviour. */
    public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0);
}
