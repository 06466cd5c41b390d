package org.martenwell.gateway;

import java.util.function.Consumer;
import org.martenwell.route.Route;

/** Notices attempts whose target sends nothing for longer than their route allows. */
final class SilenceWatch {

    /** How long a target may be silent at least, in milliseconds. */
    private static final long LEAST_SILENCE_MILLIS = 900;

    /** For how many objectives of a route a target may be silent. */
    private static final int SILENT_OBJECTIVES = 2;

    /** For how many allowed pauses of a route a target may be silent. */
    private static final int SILENT_PAUSES = 4;

    /** What all requests share. */
    private final GatewayCore core;

    /** How long a target may be silent, in milliseconds. */
    private final long allowedMillis;

    /** Is told of an attempt whose target is silent. */
    private final Consumer<SendAttempt> listener;

    /**
     * Creates a watch for the attempts of a request.
     *
     * @param core What all requests share.
     * @param route The request's route.
     * @param listener Is told of an attempt whose target is silent, again and again while it is.
     */
    SilenceWatch(GatewayCore core, Route route, Consumer<SendAttempt> listener) {
        this.core = core;
        this.listener = listener;
        long objectives = SILENT_OBJECTIVES * route.objectiveMillis();
        long pauses = SILENT_PAUSES * route.eventIntervalMillis();
        this.allowedMillis = Math.max(LEAST_SILENCE_MILLIS, Math.max(objectives, pauses));
    }

    /**
     * Watches an attempt until it is over.
     *
     * @param attempt The attempt.
     */
    void watch(SendAttempt attempt) {
        core.reactor().delayBackground(allowedMillis, () -> look(attempt));
    }

    /**
     * Looks whether a target still sends.
     *
     * @param attempt The attempt.
     */
    private void look(SendAttempt attempt) {
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
