package org.martenwell.router;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.error.MartenwellException;
import org.martenwell.observe.LogEvent;
import org.martenwell.schedule.Assignment;

/** Logs routing decisions, resumed streams and failed requests, one line each. */
final class RouteLog {

    private static final Logger LOGGER = LogManager.getLogger(RouteLog.class);

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
     * Logs that a request is sent to a target.
     *
     * @param progress The progress of the request.
     * @param assignment The slot assigned to the request.
     */
    void routed(RequestProgress progress, Assignment assignment) {
        LOGGER.info(
                line("route", progress.request())
                        .with("verdict", "admitted")
                        .with("priority", progress.request().message().priority())
                        .with("target", assignment.slot().target().name())
                        .with("reason", assignment.reason().word())
                        .with("waitedMillis", progress.waitedMillis())
                        .with("attempt", progress.attempts())
                        .message());
    }

    /**
     * Logs that a request failed.
     *
     * @param request The request.
     * @param failure The failure, with the outcome over all attempts.
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
     * Logs that an interrupted stream is resumed.
     *
     * @param request The request.
     * @param lastId The id of the last complete event.
     */
    void resumed(RoutedRequest request, String lastId) {
        LOGGER.info(line("resume", request).with("after", lastId).message());
    }

    private LogEvent line(String event, RoutedRequest request) {
        return LogEvent.of(event)
                .with("router", router)
                .with("request", request.message().id())
                .with("organisation", request.organisation().name())
                .with("pool", request.pool().toString());
    }
}
