package org.martenwell.gateway;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import java.util.function.Supplier;
import org.martenwell.admission.WaitRefusal;
import org.martenwell.error.ErrorKind;
import org.martenwell.exchange.ResponseFraming;
import org.martenwell.observe.HighDynamicRangeReservoir;
import org.martenwell.observe.LogEvent;

/** Log lines and metrics about requests: how they ended, and which gateway handled them. */
final class RequestLog {

    private final MetricRegistry metrics;

    private final RateLimitedLogger logger;

    /** The times from the arrival of requests to the first chunk of the response body. */
    private final Histogram firstChunkMillis;

    /**
     * Creates a log.
     *
     * @param metrics The metrics of the gateway.
     * @param logger Writes the lines.
     */
    RequestLog(MetricRegistry metrics, RateLimitedLogger logger) {
        this.metrics = metrics;
        this.logger = logger;
        this.firstChunkMillis =
                metrics.register(
                        "first_piece_millis", new Histogram(new HighDynamicRangeReservoir()));
    }

    /**
     * Records a request that is offloaded to another gateway.
     *
     * @param request Returns the id that the caller gave to the attempt; called only for a line,
     *     since it parses headers.
     * @param peer The gateway's name.
     * @param heldMillis The time since the request arrived, in milliseconds.
     */
    void offloaded(Supplier<Optional<String>> request, String peer, long heldMillis) {
        metrics.counter("requests_offloaded").inc();
        if (logger.mayWrite()) {
            LogEvent event = LogEvent.of("request-offloaded");
            request.get().ifPresent(id -> event.with("request", id));
            logger.write(event.with("peer", peer).with("heldMillis", heldMillis));
        }
    }

    /** Counts a request that another gateway rejected, which is handled here then. */
    void offloadRejected() {
        metrics.counter("requests_offloaded_rejected").inc();
    }

    /**
     * Counts a request that another gateway didn't complete. If its response had begun, nothing
     * else records it, so that it is recorded as a broken stream.
     *
     * @param request Returns the id that the caller gave to the attempt.
     * @param broken {@code true} if the response had begun.
     * @param elapsedMillis The time since the request arrived, in milliseconds.
     */
    void offloadFailed(Supplier<Optional<String>> request, boolean broken, long elapsedMillis) {
        metrics.counter("requests_offloaded_failed").inc();
        if (broken) {
            failed(
                    request.get().orElse(""),
                    ErrorKind.STREAM_BROKEN,
                    "",
                    "",
                    new SendHistory(),
                    elapsedMillis,
                    Optional.empty());
        }
    }

    /** Counts a request that another gateway offloaded to this one, which handles it. */
    void receivedOffloaded() {
        metrics.counter("requests_received_offloaded").inc();
    }

    /**
     * Records a request that ended without a target's response.
     *
     * @param request The id that the caller gave to the attempt.
     * @param kind The error.
     * @param route The name of the route or an empty string.
     * @param organisation The caller's organisation or an empty string.
     * @param history The attempts.
     * @param elapsedMillis The time since the request arrived, in milliseconds.
     * @param forecast The forecast by which the request was refused, empty if that is not the
     *     cause.
     */
    void failed(
            String request,
            ErrorKind kind,
            String route,
            String organisation,
            SendHistory history,
            long elapsedMillis,
            Optional<WaitRefusal> forecast) {
        metrics.counter("requests_failed_" + kind.code()).inc();
        if (logger.mayWrite()) {
            LogEvent event =
                    LogEvent.of("request-failed")
                            .with("request", request)
                            .with("kind", kind.code())
                            .with("route", route)
                            .with("organisation", organisation)
                            .with("attempts", history.attempts())
                            .with("writtenAtMillis", history.writtenAtMillis())
                            .with("heldMillis", elapsedMillis);
            forecast.ifPresent(refusal -> event.with("forecastMillis", refusal.forecastMillis()));
            logger.write(event);
        }
    }

    /**
     * Records a request that ended with a target's response.
     *
     * @param request The id that the caller gave to the attempt.
     * @param route The name of the route.
     * @param target The id of the target.
     * @param status The HTTP status code.
     * @param framing The way in which the end of the response was determined.
     * @param history The attempts, of which the last one brought the response.
     * @param pace The times at which the body arrived.
     * @param elapsedMillis The time since the request arrived, in milliseconds.
     */
    void ended(
            String request,
            String route,
            String target,
            int status,
            ResponseFraming framing,
            SendHistory history,
            ResponsePace pace,
            long elapsedMillis) {
        metrics.counter("requests_answered").inc();
        if (!framing.showsTruncation()) {
            metrics.counter("responses_close_delimited").inc();
        }
        if (logger.mayWrite()) {
            logger.write(
                    LogEvent.of("request-ended")
                            .with("request", request)
                            .with("route", route)
                            .with("target", target)
                            .with("status", status)
                            .with("framing", framing.label())
                            .with("attempts", history.attempts())
                            .with("connectionRequests", history.earlierRequests())
                            .with("firstMillis", pace.firstMillis())
                            .with("pauseMillis", pace.longestPauseMillis())
                            .with("heldMillis", elapsedMillis));
        }
    }

    /**
     * Records the latency of the first chunk of a response body.
     *
     * @param millis The time since the request arrived, in milliseconds.
     */
    void firstChunk(long millis) {
        firstChunkMillis.update(millis);
    }
}
