package org.martenwell.balance;

import java.util.Optional;

/**
 * What a target has said of itself in its present life: that it leaves, which it never takes back,
 * and for how long it wants nothing from this gateway. Whatever sends something to a target asks
 * here first.
 */
public final class Availability {

    /**
     * The longest rest that is granted, in milliseconds. A target that asks for more is asked again
     * after five minutes, which is longer than a start takes: it would else be lost to this gateway
     * for its life by a single wrong number.
     */
    private static final long LONGEST_REST_MILLIS = 300_000;

    /** From where it is known that the target leaves; empty if it is not known to leave. */
    private Optional<NoticeSource> leaving = Optional.empty();

    /** Since when it is known that the target leaves, in milliseconds. */
    private long leavingSinceMillis;

    /** Until when the target rests, in milliseconds. */
    private long restUntilMillis = Long.MIN_VALUE;

    /** Creates the availability of a target that has said nothing. */
    public Availability() {}

    /**
     * Notes that the target leaves.
     *
     * @param source From where that is known.
     * @param now The present time, in milliseconds.
     * @return {@code true} if it was not known before.
     */
    public boolean leave(NoticeSource source, long now) {
        if (leaving.isPresent()) {
            return false;
        }
        leaving = Optional.of(source);
        leavingSinceMillis = now;
        return true;
    }

    /**
     * Notes that the target wants nothing from this gateway for a time. A rest that was granted
     * before is not cut short.
     *
     * @param millis For how long, in milliseconds.
     * @param now The present time, in milliseconds.
     * @return {@code true} if the target did not rest before.
     */
    public boolean rest(long millis, long now) {
        boolean news = !rests(now);
        long until = now + Math.min(millis, LONGEST_REST_MILLIS);
        restUntilMillis = Math.max(restUntilMillis, until);
        return news;
    }

    /**
     * Tells whether the target takes requests.
     *
     * @param now The present time, in milliseconds.
     * @return {@code true} if it neither leaves nor rests.
     */
    public boolean open(long now) {
        return !leaves() && !rests(now);
    }

    /**
     * Tells whether the target leaves.
     *
     * @return {@code true} if it is known to.
     */
    public boolean leaves() {
        return leaving.isPresent();
    }

    /**
     * Returns since when it is known that the target leaves.
     *
     * @return The time in milliseconds; only of use if it leaves.
     */
    public long leavingSinceMillis() {
        return leavingSinceMillis;
    }

    /**
     * Tells whether the target rests.
     *
     * @param now The present time, in milliseconds.
     * @return {@code true} if it wants nothing yet.
     */
    public boolean rests(long now) {
        return now < restUntilMillis;
    }

    /**
     * Returns for how long the target still rests.
     *
     * @param now The present time, in milliseconds.
     * @return The time in milliseconds, 0 if it does not rest.
     */
    public long restMillis(long now) {
        return rests(now) ? restUntilMillis - now : 0;
    }
}
