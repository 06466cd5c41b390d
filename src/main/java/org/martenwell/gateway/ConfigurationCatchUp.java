package org.martenwell.gateway;

/**
 * Decides when to ask a peer for a configuration that is newer than the one in force. The store
 * usually tells it first, so peers are asked only behind a head start, and one at a time: a change
 * that all peers report must not bring its document from each of them.
 */
final class ConfigurationCatchUp {

    /** How long the store may take to tell a version that a peer has, in milliseconds. */
    private static final long HEAD_START_MILLIS = 120;

    /** How long a peer may take to answer before another is asked, in milliseconds. */
    private static final long ANSWER_MILLIS = 200;

    /** The newest version that a peer told. */
    private long newest;

    /** When a version above the one in force was first told, in milliseconds. */
    private long newerSinceMillis = Long.MAX_VALUE;

    /** When a peer was last asked, in milliseconds. */
    private long askedMillis = Long.MIN_VALUE / 2;

    /** Creates a catch-up that has heard nothing. */
    ConfigurationCatchUp() {}

    /**
     * Notes which version a peer has in force.
     *
     * @param told The peer's version.
     * @param present The version in force here, 0 if none is known.
     * @param now The present time, in milliseconds.
     * @return {@code true} if that peer should be asked for its configuration now.
     */
    boolean heard(long told, long present, long now) {
        if (told <= present) {
            return false;
        }
        if (newest <= present || newerSinceMillis == Long.MAX_VALUE) {
            newerSinceMillis = now;
        }
        newest = Math.max(newest, told);
        long headStart = present == 0 ? 0 : HEAD_START_MILLIS;
        if (now - newerSinceMillis < headStart || now - askedMillis < ANSWER_MILLIS) {
            return false;
        }
        askedMillis = now;
        return true;
    }
}
