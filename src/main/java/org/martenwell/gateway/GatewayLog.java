package org.martenwell.gateway;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import io.activej.reactor.nio.NioReactor;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.admission.WaitRefusal;
import org.martenwell.balance.EngineChoice;
import org.martenwell.balance.NoticeSource;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.error.ErrorKind;
import org.martenwell.exchange.ClosedConnection;
import org.martenwell.exchange.ConnectionLimits;
import org.martenwell.exchange.ResponseFraming;
import org.martenwell.observe.HighDynamicRangeReservoir;
import org.martenwell.observe.LogEvent;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.RequestSummary;
import org.martenwell.share.ShareUse;

/**
 * Log lines and metrics of a gateway. Lines about requests and targets are rate-limited; the line
 * after suppressed ones states their number.
 */
final class GatewayLog {

    private static final Logger LOGGER = LogManager.getLogger(GatewayLog.class);

    private static final double LINES_PER_SECOND = 120;

    private static final double BURST_LINES = 600;

    private static final double CLOSES_PER_SECOND = 10;

    private static final double BURST_CLOSES = 50;

    private static final String SILENT_CAUSE = "silent";

    private final NioReactor reactor;

    private final MetricRegistry metrics = new MetricRegistry();

    /** The times from the arrival of requests to the first chunk of the response body. */
    private final Histogram firstChunkMillis =
            metrics.register("first_piece_millis", new Histogram(new HighDynamicRangeReservoir()));

    private final LogRateLimiter rateLimiter = new LogRateLimiter(LINES_PER_SECOND, BURST_LINES);

    /** Apart from other lines, since many connections may close at once. */
    private final LogRateLimiter closeRateLimiter =
            new LogRateLimiter(CLOSES_PER_SECOND, BURST_CLOSES);

    /**
     * Creates a log.
     *
     * @param reactor The event loop, whose time the rate limit uses.
     */
    GatewayLog(NioReactor reactor) {
        this.reactor = reactor;
    }

    /**
     * Returns the metrics of the gateway.
     *
     * @return The registry, to which other classes add their own metrics.
     */
    MetricRegistry metrics() {
        return metrics;
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
        if (mayWrite()) {
            LogEvent event = LogEvent.of("request-offloaded");
            request.get().ifPresent(id -> event.with("request", id));
            write(event.with("peer", peer).with("heldMillis", heldMillis));
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
        if (mayWrite()) {
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
            write(event);
        }
    }

    /**
     * Records an attempt at a target of a plain service.
     *
     * @param request The id that the caller gave to the attempt.
     * @param target The target.
     * @param attempt The number of the attempt, from 1.
     * @param timing The circumstances of the attempt.
     */
    void sent(String request, DirectoryTarget target, int attempt, SendTiming timing) {
        metrics.counter("requests_sent").inc();
        if (mayWrite()) {
            write(sentEvent(request, target, attempt, timing));
        }
    }

    private static LogEvent sentEvent(
            String request, DirectoryTarget target, int attempt, SendTiming timing) {
        LogEvent event =
                LogEvent.of("request-sent")
                        .with("request", request)
                        .with("target", target.id())
                        .with("version", target.version())
                        .with("attempt", attempt)
                        .with("configuration", timing.configurationVersion())
                        .with("heldMillis", timing.heldMillis())
                        .with("remainingMillis", timing.remainingMillis());
        timing.resumes().ifPresent(resumed -> event.with("resumes", resumed));
        return event;
    }

    /**
     * Records an attempt at a model engine.
     *
     * @param request The id that the caller gave to the attempt.
     * @param choice The chosen engine.
     * @param attempt The number of the attempt, from 1.
     * @param organisation The caller's organisation or an empty string.
     * @param use The use that the organisation has made of its fair shares.
     * @param timing The circumstances of the attempt.
     */
    void sentToEngine(
            String request,
            EngineChoice choice,
            int attempt,
            String organisation,
            ShareUse use,
            SendTiming timing) {
        metrics.counter("requests_sent").inc();
        metrics.counter("requests_sent_" + use.tier().name().toLowerCase(Locale.ROOT)).inc();
        if (mayWrite()) {
            LogEvent event =
                    sentEvent(request, choice.load().target(), attempt, timing)
                            .with("organisation", organisation)
                            .with("tier", use.tier())
                            .with("promisedUse", use.promised())
                            .with("unreadTokens", choice.prefillTokens())
                            .with("backlogMillis", Math.round(choice.backlogMillis()))
                            .with("interferenceMillis", Math.round(choice.interferenceMillis()))
                            .with("copy", choice.copyFrom().isPresent());
            double speed = choice.load().speed().factor();
            if (speed != 1) {
                event.with("speed", speed);
            }
            write(event);
        }
    }

    /**
     * Records that the version of a stream was found that a caller takes up.
     *
     * @param request The id that the caller gave to the attempt.
     * @param resumed The attempt that brought the first event, empty if the caller names none.
     * @param stream The stream.
     */
    void streamFound(String request, Optional<String> resumed, ResumedStream stream) {
        String source = stream.source().label();
        metrics.counter("streams_found_by_" + source).inc();
        if (mayWrite()) {
            write(
                    LogEvent.of("stream-found")
                            .with("request", request)
                            .with("resumes", resumed.orElse(""))
                            .with("service", stream.version().service())
                            .with("version", stream.version().version())
                            .with("learntFrom", source));
        }
    }

    /**
     * Counts a request that brought its caller an event of a resumable stream.
     *
     * @param resumed {@code true} if the caller resumed the stream.
     */
    void streamStarted(boolean resumed) {
        metrics.counter(resumed ? "streams_continued" : "streams_begun").inc();
    }

    /**
     * Counts a request that resumed a stream and ended without a target's response. Causes that
     * concern the stream's version are counted by {@link #streamRefused}.
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
    void streamRefused(
            String request, Optional<String> resumed, StreamRefusal refusal, StreamLookup lookup) {
        metrics.counter("streams_refused_" + refusal.label()).inc();
        if (mayWrite()) {
            LookupFacts facts = lookup.facts();
            write(
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

    /**
     * Records a request that ended with a target's response.
     *
     * @param request The id that the caller gave to the attempt.
     * @param route The name of the route.
     * @param target The id of the target.
     * @param status The HTTP status code.
     * @param framing The way in which the end of the response was determined.
     * @param attempts The number of attempts.
     * @param pace The times at which the body arrived.
     * @param elapsedMillis The time since the request arrived, in milliseconds.
     */
    void ended(
            String request,
            String route,
            String target,
            int status,
            ResponseFraming framing,
            int attempts,
            ResponsePace pace,
            long elapsedMillis) {
        metrics.counter("requests_answered").inc();
        if (!framing.showsTruncation()) {
            metrics.counter("responses_close_delimited").inc();
        }
        if (mayWrite()) {
            write(
                    LogEvent.of("request-ended")
                            .with("request", request)
                            .with("route", route)
                            .with("target", target)
                            .with("status", status)
                            .with("framing", framing.label())
                            .with("attempts", attempts)
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

    /**
     * Records an attempt that the target didn't run.
     *
     * @param request The id that the caller gave to the attempt.
     * @param target The target's id.
     * @param cause The cause, a part of the metric's name.
     */
    void attemptFailed(String request, String target, String cause) {
        metrics.counter("attempts_failed_" + cause.toLowerCase(Locale.ROOT)).inc();
        if (mayWrite()) {
            write(
                    LogEvent.of("attempt-failed")
                            .with("request", request)
                            .with("target", target)
                            .with("cause", cause));
        }
    }

    /**
     * Records an attempt whose target was silent.
     *
     * @param request The id that the caller gave to the attempt.
     * @param target The target's id.
     * @param silence The circumstances.
     */
    void targetSilent(String request, String target, Silence silence) {
        metrics.counter("attempts_failed_" + SILENT_CAUSE).inc();
        if (mayWrite()) {
            write(
                    LogEvent.of("attempt-failed")
                            .with("request", request)
                            .with("target", target)
                            .with("cause", SILENT_CAUSE)
                            .with("silentMillis", silence.millis())
                            .with("lateMillis", silence.lateMillis()));
        }
    }

    /**
     * Records an attempt that failed after the request was sent.
     *
     * @param request The id that the caller gave to the attempt.
     * @param incarnation The target's incarnation.
     * @param cause The cause, a part of the metric's name.
     * @param fingerprint The request's fingerprint.
     */
    void sentAttemptFailed(
            String request, String incarnation, String cause, Fingerprint fingerprint) {
        metrics.counter("attempts_failed_" + cause.toLowerCase(Locale.ROOT)).inc();
        if (mayWrite()) {
            write(
                    LogEvent.of("attempt-failed")
                            .with("request", request)
                            .with("target", incarnation)
                            .with("cause", cause)
                            .with("fingerprint", fingerprint));
        }
    }

    /**
     * Records that a target is draining.
     *
     * @param incarnation The target's incarnation.
     * @param source The first source of the notice.
     */
    void draining(String incarnation, NoticeSource source) {
        String from = source.name().toLowerCase(Locale.ROOT);
        metrics.counter("targets_leaving_by_" + from).inc();
        if (mayWrite()) {
            write(
                    LogEvent.of("target-leaving")
                            .with("target", incarnation)
                            .with("learntFrom", from));
        }
    }

    /**
     * Records that a target is no longer in the directory.
     *
     * @param incarnation The target's incarnation.
     * @param source The source of the notice.
     */
    void unlisted(String incarnation, NoticeSource source) {
        String from = source.name().toLowerCase(Locale.ROOT);
        metrics.counter("targets_unlisted_by_" + from).inc();
        if (mayWrite()) {
            write(
                    LogEvent.of("target-unlisted")
                            .with("target", incarnation)
                            .with("learntFrom", from));
        }
    }

    /**
     * Records that a target asked this gateway for a pause.
     *
     * @param incarnation The target's incarnation.
     * @param millis The length of the pause, in milliseconds.
     */
    void pauseRequested(String incarnation, long millis) {
        metrics.counter("targets_resting").inc();
        if (mayWrite()) {
            write(LogEvent.of("target-rests").with("target", incarnation).with("millis", millis));
        }
    }

    /**
     * Records that a target crashed.
     *
     * @param incarnation The target's incarnation.
     * @param source The source that shows it.
     */
    void targetCrashed(String incarnation, CrashSource source) {
        String from = source.name().toLowerCase(Locale.ROOT);
        metrics.counter("targets_crashed_by_" + from).inc();
        if (mayWrite()) {
            write(
                    LogEvent.of("target-crashed")
                            .with("target", incarnation)
                            .with("learntFrom", from));
        }
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
        if (mayWrite()) {
            write(
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
        if (mayWrite()) {
            write(
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
        if (mayWrite()) {
            write(
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
        if (mayWrite()) {
            LogEvent event =
                    LogEvent.of("request-held")
                            .with("fingerprint", fingerprint)
                            .with("learntFrom", source);
            summary.map(RequestSummary::part)
                    .filter(part -> !part.isEmpty())
                    .ifPresent(part -> event.with("part", part));
            write(event);
        }
    }

    /**
     * Records that a request was released.
     *
     * @param event The name of the event, also used for the metric.
     * @param fingerprint The request's fingerprint.
     * @param source The origin of the decision.
     */
    void quarantineChanged(String event, Fingerprint fingerprint, String source) {
        metrics.counter(event.replace('-', '_')).inc();
        if (mayWrite()) {
            write(LogEvent.of(event).with("fingerprint", fingerprint).with("learntFrom", source));
        }
    }

    /**
     * Counts changes of prompt caches that engines reported.
     *
     * @param count The number of changes in one response.
     * @param lost {@code true} if the engine has discarded earlier changes that the gateway missed.
     */
    void cacheChangesReceived(int count, boolean lost) {
        metrics.counter("kept_changes").inc(count);
        if (lost) {
            metrics.counter("kept_changes_lost").inc();
        }
    }

    /**
     * Counts a reported change that corrected the gateway's view of a prompt cache.
     *
     * @param cached {@code true} if the part is cached, {@code false} if it was evicted.
     */
    void cacheEntryCorrected(boolean cached) {
        metrics.counter(cached ? "kept_parts_learnt" : "kept_parts_dropped").inc();
    }

    /**
     * Records that an entry of the directory can't be read and is ignored.
     *
     * @param name The entry's name.
     * @param reason The problem with the entry.
     */
    void unreadable(String name, String reason) {
        metrics.counter("entries_unreadable").inc();
        if (mayWrite()) {
            write(LogEvent.of("entry-unreadable").with("name", name).with("reason", reason));
        }
    }

    /**
     * Records that a configuration became active.
     *
     * @param version Its version.
     * @param limits Its limits on callers' connections.
     * @param peer The peer that forwarded it, empty if the directory provided it.
     */
    void configured(long version, ConnectionLimits limits, Optional<String> peer) {
        String from = peer.isPresent() ? "peer" : "directory";
        metrics.counter("configurations_by_" + from).inc();
        LOGGER.info(
                LogEvent.of("configuration")
                        .with("detail", version)
                        .with("learntFrom", from)
                        .with("peer", peer.orElse(""))
                        .with("maxHeaderBytes", limits.maxHeaderBytes())
                        .with("maxBodyBytes", limits.maxBodyBytes())
                        .with("headerTimeoutMillis", limits.headerTimeoutMillis())
                        .with("idleTimeoutMillis", limits.idleTimeoutMillis())
                        .message());
    }

    /**
     * Records that a caller's connection was closed.
     *
     * @param closed The connection.
     */
    void connectionClosed(ClosedConnection closed) {
        metrics.counter("connections_closed_" + closed.reason().label()).inc();
        if (closed.unreadBytes() > 0) {
            metrics.counter("connections_closed_unread").inc();
        }
        if (closed.reason().unannounced() && mayWrite(closeRateLimiter)) {
            write(
                    LogEvent.of("connection-closed")
                            .with("reason", closed.reason().label())
                            .with("state", closed.state().label())
                            .with("stateMillis", closed.stateMillis())
                            .with("lateMillis", closed.lateMillis())
                            .with("unreadBytes", closed.unreadBytes())
                            .with("unwrittenBytes", closed.unwrittenBytes())
                            .with("headerTimeoutMillis", closed.limits().headerTimeoutMillis())
                            .with("idleTimeoutMillis", closed.limits().idleTimeoutMillis()),
                    closeRateLimiter);
        }
    }

    /**
     * Logs a change of the gateway's state. These lines are not rate-limited.
     *
     * @param event The name of the event.
     * @param detail The new value.
     */
    void changed(String event, Object detail) {
        LOGGER.info(LogEvent.of(event).with("detail", detail).message());
    }

    /** Returns whether a rate-limited line may be written, and counts it if not. */
    private boolean mayWrite() {
        return mayWrite(rateLimiter);
    }

    private boolean mayWrite(LogRateLimiter limiter) {
        if (!LOGGER.isInfoEnabled()) {
            return false;
        }
        boolean allowed = limiter.tryAcquire(reactor.currentTimeMillis());
        if (!allowed) {
            metrics.counter("log_lines_dropped").inc();
        }
        return allowed;
    }

    private void write(LogEvent event) {
        write(event, rateLimiter);
    }

    private void write(LogEvent event, LogRateLimiter limiter) {
        long suppressed = limiter.takeSuppressed();
        LOGGER.info((suppressed > 0 ? event.with("linesDropped", suppressed) : event).message());
    }
}
