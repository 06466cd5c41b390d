package org.martenwell.gateway;

import org.martenwell.route.Route;
import org.martenwell.service.ResponseTimeout;
import org.martenwell.service.StepGuard;

/** Detects attempts whose target sends nothing for longer than the route allows. */
final class StallDetector {

    /** The least allowed silence of a target, in milliseconds. */
    private static final long MIN_SILENCE_MILLIS = 900;

    /** The allowed silence, as a multiple of the route's latency objective. */
    private static final int OBJECTIVES_ALLOWED = 2;

    /**
     * The allowed silence, as a multiple of the route's longest interval between events of a
     * stream.
     */
    private static final int PAUSES_ALLOWED = 4;

    private final GatewayCore core;

    private final StepGuard guard;

    /** The allowed silence of a target, in milliseconds. */
    private final long allowedMillis;

    private final Listener listener;

    /** Receives the attempts whose targets are silent. */
    interface Listener {

        /**
         * Called when a target is silent, repeatedly until it sends or the attempt is over.
         *
         * @param attempt The attempt.
         * @param silence The circumstances of the decision.
         */
        void targetSilent(SendAttempt attempt, Silence silence);
    }

    /**
     * Creates a detector for the attempts of a request.
     *
     * @param core The gateway's state.
     * @param guard Runs the timers.
     * @param route The request's route.
     * @param listener Receives the attempts whose targets are silent.
     */
    StallDetector(GatewayCore core, StepGuard guard, Route route, Listener listener) {
        this.core = core;
        this.guard = guard;
        this.listener = listener;
        long objectives = OBJECTIVES_ALLOWED * route.objectiveMillis();
        long pauses = PAUSES_ALLOWED * route.eventIntervalMillis();
        this.allowedMillis = Math.max(MIN_SILENCE_MILLIS, Math.max(objectives, pauses));
    }

    /**
     * Monitors an attempt until it is over.
     *
     * @param attempt The attempt.
     */
    void watch(SendAttempt attempt) {
        long dueMillis = core.now() + allowedMillis;
        core.reactor()
                .delayBackground(allowedMillis, guard.guarded(() -> check(attempt, dueMillis)));
    }

    /**
     * Checks an attempt once more behind the next read if its target seems silent, else later.
     *
     * @param attempt The attempt.
     * @param dueMillis The time for which this check was scheduled, in milliseconds.
     */
    private void check(SendAttempt attempt, long dueMillis) {
        if (attempt.over()) {
            return;
        }
        if (attempt.silentMillis() < allowedMillis) {
            watch(attempt);
            return;
        }
        long lateMillis = core.now() - dueMillis;
        ResponseTimeout.afterNextRead(
                core.reactor(), guard.guarded(() -> decide(attempt, lateMillis)));
    }

    /**
     * Reports an attempt whose target is silent, and schedules the next check.
     *
     * @param attempt The attempt.
     * @param lateMillis The delay of the event loop at the check, in milliseconds.
     */
    private void decide(SendAttempt attempt, long lateMillis) {
        if (attempt.over()) {
            return;
        }
        long silentMillis = attempt.silentMillis();
        if (silentMillis >= allowedMillis) {
            listener.targetSilent(attempt, new Silence(silentMillis, lateMillis));
        }
        if (!attempt.over()) {
            watch(attempt);
        }
    }
}
