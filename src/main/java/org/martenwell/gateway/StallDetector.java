package org.martenwell.gateway;

import java.util.function.Consumer;
import org.martenwell.route.Route;

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

    /** The allowed silence of a target, in milliseconds. */
    private final long allowedMillis;

    /** Called with an attempt whose target is silent. */
    private final Consumer<SendAttempt> listener;

    /**
     * Creates a detector for the attempts of a request.
     *
     * @param core The gateway's state.
     * @param route The request's route.
     * @param listener Called with an attempt whose target is silent, repeatedly until the target
     *     sends or the attempt is over.
     */
    StallDetector(GatewayCore core, Route route, Consumer<SendAttempt> listener) {
        this.core = core;
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
        core.reactor().delayBackground(allowedMillis, () -> check(attempt));
    }

    /**
     * Reports an attempt whose target is silent, and schedules the next check.
     *
     * @param attempt The attempt.
     */
    private void check(SendAttempt attempt) {
        if (attempt.over()) {
            return;
        }
        if (attempt.silentMillis() >= allowedMillis) {
            listener.accept(attempt);
        }
        if (!attempt.over()) {
            watch(attempt);
        }
    }
}
