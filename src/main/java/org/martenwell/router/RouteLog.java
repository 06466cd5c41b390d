package org.martenwell.router;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.error.MartenwellException;
import org.martenwell.observe.LogEvent;
import org.martenwell.schedule.Assignment;

/** Logs a line for each routing decision and each end of a request. */
final class RouteLog {

    /** The log. */
    private static final Logger LOGGER = LogManager.getLogger(RouteLog.class);

    /** This router's name. */
    private final String router;

    /**
     * Creates a log.
     *
     * @param router This router's name.
     */
    RouteLog(String router) {
        this.router = router;
    }

    /**
     * Logs that a request goes to a target.
     *
     * @param life The request's life.
     * @param assignment Its slot.
     */
    void routed(RequestProgress life, Assignment assignment) {
        LOGGER.info(
                line("route", life.request())
                        .with("verdict", "admitted")
                        .with("priority", life.request().message().priority())
                        .with("target", assignment.slot().target().name())
                        .with("reason", assignment.reason().word())
                        .with("waitedMillis", life.waitedMillis())
                        .with("attempt", life.attempts())
                        .message());
    }

    /**
     * Logs that a request failed.
     *
     * @param request The request.
     * @param failure Why.
     */
    void failed(RoutedRequest request, MartenwellException failure) {
        LOGGER.info(
                line("route", request)
                        .with("verdict", failure.kind().code())
                        .with("outcome", failure.outcome().word())
                        .with("reason", failure.getMessage())
                        .message());
    }

    /**
     * Logs that a broken stream is resumed.
     *
     * @param request The request.
     * @param lastId The id of the last whole event.
     */
    void resumed(RoutedRequest request, String lastId) {
        LOGGER.info(line("resume", request).with("after", lastId).message());
    }

    /**
     * Starts a line about a request.
     *
     * @param event What happened.
     * @param request The request.
     * @return The line.
     */
    private LogEvent line(String event, RoutedRequest request) {
        return LogEvent.of(event)
                .with("router", router)
                .with("request", request.message().id())
                .with("organisation", request.organisation().name())
                .with("pool", request.pool().toString());
    }
}
