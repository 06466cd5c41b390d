package org.martenwell.gateway;

import org.martenwell.service.ResponseTimeout;
import org.martenwell.service.StepGuard;

/**
 * Ends a close-delimited failure of a target that sends nothing more and keeps the connection open.
 * A part of its body is of more use to the caller than the response at the deadline.
 */
final class SilentResponseEnd {

    /** The silence that ends the response, in milliseconds. */
    private static final long SILENCE_MILLIS = 1_000;

    private final GatewayCore core;

    private final StepGuard guard;

    private final SendAttempt attempt;

    private SilentResponseEnd(GatewayCore core, StepGuard guard, SendAttempt attempt) {
        this.core = core;
        this.guard = guard;
        this.attempt = attempt;
    }

    /**
     * Ends the response of an attempt once its target has been silent, unless it ends before.
     *
     * @param core The gateway's state.
     * @param guard Runs the timers.
     * @param attempt The attempt, whose response has begun.
     */
    static void await(GatewayCore core, StepGuard guard, SendAttempt attempt) {
        new SilentResponseEnd(core, guard, attempt).schedule(SILENCE_MILLIS);
    }

    private void schedule(long delayMillis) {
        core.reactor()
                .delayBackground(
                        delayMillis,
                        guard.guarded(
                                () ->
                                        ResponseTimeout.afterNextRead(
                                                core.reactor(), guard.guarded(this::check))));
    }

    private void check() {
        if (attempt.over()) {
            return;
        }
        long remainingMillis = SILENCE_MILLIS - attempt.silentMillis();
        if (remainingMillis <= 0) {
            attempt.endResponse();
        } else {
            schedule(remainingMillis);
        }
    }
}
