package org.martenwell.balance;

import java.util.Optional;

/**
 * The state that a target has announced for its current incarnation: draining, which is final, or a
 * pause in which it accepts nothing from this gateway. It is checked before anything is sent to the
 * target.
 */
public final class Availability {

    /**
     * The longest pause that is granted, in milliseconds. It keeps a target that announces a wrong
     * value from being unused for the rest of its incarnation.
     */
    private static final long MAX_PAUSE_MILLIS = 300_000;

    /** The source of the notice that the target is draining; empty if there was none. */
    private Optional<NoticeSource> drainSource = Optional.empty();

    /**
     * The time at which draining became known, in milliseconds; 0 if it is not known to be
     * draining.
     */
    private long drainingSinceMillis;

    /** The end of the latest pause, in milliseconds. */
    private long pausedUntilMillis = Long.MIN_VALUE;

    /** Creates the availability of a target without announcements. */
    public Availability() {}

    /**
     * Records that the target is draining.
     *
     * @param source The source of the announcement.
     * @param now The current time, in milliseconds.
     * @return {@code true} if it was not known before.
     */
    public boolean markDraining(NoticeSource source, long now) {
        if (drainSource.isPresent()) {
            return false;
        }
        drainSource = Optional.of(source);
        drainingSinceMillis = now;
        return true;
    }

    /**
     * Pauses the target. An earlier pause is not shortened.
     *
     * @param millis The length of the pause, in milliseconds; at most five minutes are granted.
     * @param now The current time, in milliseconds.
     * @return {@code true} if the target was not paused before.
     */
    public boolean pause(long millis, long now) {
        boolean started = !isPaused(now);
        long until = now + Math.min(millis, MAX_PAUSE_MILLIS);
        pausedUntilMillis = Math.max(pausedUntilMillis, until);
        return started;
    }

    /**
     * Checks whether the target accepts requests.
     *
     * @param now The current time, in milliseconds.
     * @return {@code true} if it is neither draining nor paused.
     */
    public boolean isAvailable(long now) {
        return !isDraining() && !isPaused(now);
    }

    /** {@return {@code true} if the target is known to be draining} */
    public boolean isDraining() {
        return drainSource.isPresent();
    }

    /**
     * Returns the time at which draining became known.
     *
     * @return The time in milliseconds; meaningful only if {@link #isDraining}.
     */
    public long drainingSinceMillis() {
        return drainingSinceMillis;
    }

    /**
     * Checks whether the target is paused.
     *
     * @param now The current time, in milliseconds.
     * @return {@code true} if it is.
     */
    public boolean isPaused(long now) {
        return now < pausedUntilMillis;
    }

    /**
     * Returns the remaining length of the pause.
     *
     * @param now The current time, in milliseconds.
     * @return The time in milliseconds, 0 if the target is not paused.
     */
    public long pauseMillis(long now) {
        return isPaused(now) ? pausedUntilMillis - now : 0;
    }
}
