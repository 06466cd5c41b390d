package org.martenwell.gateway;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import java.util.stream.Collectors;
import org.martenwell.observe.LogEvent;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.RequestSummary;

/** Log lines and metrics about requests and prompt parts that are suspected or quarantined. */
final class QuarantineLog {

    private final MetricRegistry metrics;

    private final RateLimitedLogger logger;

    /**
     * Creates a log.
     *
     * @param metrics The metrics of the gateway.
     * @param logger Writes the lines.
     */
    QuarantineLog(MetricRegistry metrics, RateLimitedLogger logger) {
        this.metrics = metrics;
        this.logger = logger;
    }

    /**
     * Records that a target crashed while running a request.
     *
     * @param suspect The request.
     * @param incarnation The target's incarnation.
     * @param crashes The number of targets that crashed while running the request.
     */
    void suspected(SuspectRequest suspect, String incarnation, int crashes) {
        metrics.counter("requests_suspected").inc();
        if (logger.mayWrite()) {
            logger.write(
                    LogEvent.of("request-suspected")
                            .with("fingerprint", suspect.fingerprint())
                            .with("path", suspect.summary().path())
                            .with("organisation", suspect.summary().organisation())
                            .with("parts", partIds(suspect))
                            .with("target", incarnation)
                            .with("targetsEnded", crashes));
        }
    }

    private static String partIds(SuspectRequest suspect) {
        return suspect.parts().stream().map(SharedPart::id).collect(Collectors.joining(","));
    }

    /**
     * Records that a target crashed while running a request with a prompt part that no target has
     * served recently.
     *
     * @param part The part.
     * @param incarnation The target's incarnation.
     * @param crashes The number of targets that crashed with such requests.
     */
    void partSuspected(SharedPart part, String incarnation, int crashes) {
        metrics.counter("prompt_parts_suspected").inc();
        if (logger.mayWrite()) {
            logger.write(
                    LogEvent.of("part-suspected")
                            .with("part", part.id())
                            .with("fingerprint", part.fingerprint())
                            .with("target", incarnation)
                            .with("targetsEnded", crashes));
        }
    }

    /**
     * Records that a target served a suspected prompt part.
     *
     * @param part The part.
     */
    void partCleared(SharedPart part) {
        metrics.counter("prompt_parts_cleared").inc();
        if (logger.mayWrite()) {
            logger.write(
                    LogEvent.of("part-cleared")
                            .with("part", part.id())
                            .with("fingerprint", part.fingerprint()));
        }
    }

    /**
     * Records that a request or a prompt part was quarantined.
     *
     * @param fingerprint The fingerprint of the request or part.
     * @param summary Its description, empty if this gateway doesn't know it.
     * @param source The origin of the decision.
     */
    void held(Fingerprint fingerprint, Optional<RequestSummary> summary, String source) {
        metrics.counter("request_held").inc();
        if (logger.mayWrite()) {
            LogEvent event =
                    LogEvent.of("request-held")
                            .with("fingerprint", fingerprint)
                            .with("learntFrom", source);
            summary.map(RequestSummary::part)
                    .filter(part -> !part.isEmpty())
                    .ifPresent(part -> event.with("part", part));
            logger.write(event);
        }
    }

    /**
     * Records that a request was released.
     *
     * @param event The name of the event, also used for the metric.
     * @param fingerprint The request's fingerprint.
     * @param source The origin of the decision.
     */
    void changed(String event, Fingerprint fingerprint, String source) {
        metrics.counter(event.replace('-', '_')).inc();
        if (logger.mayWrite()) {
            logger.write(
                    LogEvent.of(event).with("fingerprint", fingerprint).with("learntFrom", source));
        }
    }
}
