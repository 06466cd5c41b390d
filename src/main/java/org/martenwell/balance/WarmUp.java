package org.martenwell.balance;

import java.util.OptionalLong;
import org.martenwell.route.WarmUpLimit;

/**
 * Warm-up of a target, during which it bears only the requests of its service's {@link
 * WarmUpLimit}.
 */
public final class WarmUp {

    /** The end of the announced warm-up, in milliseconds. */
    private long announcedUntilMillis = Long.MIN_VALUE;

    /** The time since which a warm-up is assumed, in milliseconds, or empty. */
    private OptionalLong assumedSinceMillis = OptionalLong.empty();

    /** Creates the state of a target that does not warm up. */
    WarmUp() {}

    /**
     * Applies an announcement of the target, which replaces earlier ones.
     *
     * @param remainingMillis The remaining time in milliseconds; if it is empty, a warm-up that
     *     begins now is assumed.
     * @param now The current time, in milliseconds.
     */
    public void announced(OptionalLong remainingMillis, long now) {
        if (remainingMillis.isPresent()) {
            announcedUntilMillis = now + remainingMillis.getAsLong();
        } else {
            assume(now);
        }
    }

    /**
     * Assumes that a warm-up of full length begins.
     *
     * @param now The current time, in milliseconds.
     */
    public void assume(long now) {
        assumedSinceMillis = OptionalLong.of(now);
    }

    /**
     * Checks whether the target warms up.
     *
     * @param limit The limit of the target's service.
     * @param now The current time, in milliseconds.
     * @return {@code true} if the service has a limit and the target warms up.
     */
    public boolean isActive(WarmUpLimit limit, long now) {
        boolean assumed =
                assumedSinceMillis.isPresent()
                        && now < assumedSinceMillis.getAsLong() + limit.durationMillis();
        return limit.limited() && (assumed || now < announcedUntilMillis);
    }
}
