package org.martenwell.gateway;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import org.martenwell.error.ErrorKind;
import org.martenwell.observe.LogEvent;

/** Log lines and metrics about resumable streams. */
final class StreamLog {

    private final MetricRegistry metrics;

    private final RateLimitedLogger logger;

    /**
     * Creates a log.
     *
     * @param metrics The metrics of the gateway.
     * @param logger Writes the lines.
     */
    StreamLog(MetricRegistry metrics, RateLimitedLogger logger) {
        this.metrics = metrics;
        this.logger = logger;
    }

    /**
     * Records that the version of a stream was found that a caller takes up.
     *
     * @param request The id that the caller gave to the attempt.
     * @param resumed The attempt that brought the first event, empty if the caller names none.
     * @param stream The stream.
     */
    void found(String request, Optional<String> resumed, ResumedStream stream) {
        String source = stream.source().label();
        metrics.counter("streams_found_by_" + source).inc();
        if (logger.mayWrite()) {
            logger.write(
                    LogEvent.of("stream-found")
                            .with("request", request)
                            .with("resumes", resumed.orElse(""))
                            .with("service", stream.version().service())
                            .with("version", stream.version().version())
                            .with("learntFrom", source));
        }
    }

    /**
     * Counts a request that takes precedence over new ones, since it resumes an admitted stream.
     */
    void precedenceTaken() {
        metrics.counter("streams_given_precedence").inc();
    }

    /**
     * Counts a request that brought its caller an event of a resumable stream.
     *
     * @param resumed {@code true} if the caller resumed the stream.
     */
    void started(boolean resumed) {
        metrics.counter(resumed ? "streams_continued" : "streams_begun").inc();
    }

    /**
     * Counts a request that resumed a stream and ended without a target's response. Causes that
     * concern the stream's version are counted by {@link #refused}.
     *
     * @param kind The error.
     */
    void resumptionFailed(ErrorKind kind) {
        if (kind != ErrorKind.STREAM_UNKNOWN && kind != ErrorKind.VERSION_GONE) {
            metrics.counter("streams_refused_" + kind.code()).inc();
        }
    }

    /**
     * Records that a stream is not continued that a caller resumes.
     *
     * @param request The id that the caller gave to the attempt.
     * @param resumed The attempt that brought the first event, empty if the caller names none.
     * @param refusal The cause.
     * @param lookup The search for the stream's version.
     */
    void refused(
            String request, Optional<String> resumed, StreamRefusal refusal, StreamLookup lookup) {
        metrics.counter("streams_refused_" + refusal.label()).inc();
        if (logger.mayWrite()) {
            LookupFacts facts = lookup.facts();
            logger.write(
                    LogEvent.of("stream-refused")
                            .with("request", request)
                            .with("resumes", resumed.orElse(""))
                            .with("cause", refusal.label())
                            .with("versions", facts.versions())
                            .with("coveredMillis", facts.coveredMillis())
                            .with("peersAsked", facts.peersAsked())
                            .with("peersAnswered", facts.peersAnswered())
                            .with("waitedMillis", facts.waitedMillis()));
        }
    }
}
