package org.martenwell.gateway;

import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import org.martenwell.balance.EngineChoice;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.observe.LogEvent;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.share.ShareUse;

/** Log lines and metrics about attempts to send requests to targets. */
final class AttemptLog {

    private static final String SILENT_CAUSE = "silent";

    private final MetricRegistry metrics;

    private final RateLimitedLogger logger;

    /**
     * Creates a log.
     *
     * @param metrics The metrics of the gateway.
     * @param logger Writes the lines.
     */
    AttemptLog(MetricRegistry metrics, RateLimitedLogger logger) {
        this.metrics = metrics;
        this.logger = logger;
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
        if (logger.mayWrite()) {
            logger.write(sentEvent(request, target, attempt, timing));
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
        if (logger.mayWrite()) {
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
            logger.write(event);
        }
    }

    /**
     * Records an attempt that the target didn't run.
     *
     * @param request The id that the caller gave to the attempt.
     * @param target The target's id.
     * @param cause The cause, a part of the metric's name.
     */
    void notRun(String request, String target, String cause) {
        metrics.counter("attempts_failed_" + cause.toLowerCase(Locale.ROOT)).inc();
        if (logger.mayWrite()) {
            logger.write(
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
    void silent(String request, String target, Silence silence) {
        metrics.counter("attempts_failed_" + SILENT_CAUSE).inc();
        if (logger.mayWrite()) {
            logger.write(
                    LogEvent.of("attempt-failed")
                            .with("request", request)
                            .with("target", target)
                            .with("cause", SILENT_CAUSE)
                            .with("silentMillis", silence.millis())
                            .with("lateMillis", silence.lateMillis()));
        }
    }

    /**
     * Records an attempt that was cancelled because the silent target before it sends again.
     *
     * @param request The id that the caller gave to the attempt.
     * @param target The target's id.
     */
    void withdrawn(String request, String target) {
        notRun(request, target, "withdrawn");
    }

    /**
     * Records an attempt that failed after the request was sent.
     *
     * @param request The id that the caller gave to the attempt.
     * @param incarnation The target's incarnation.
     * @param cause The cause, a part of the metric's name.
     * @param fingerprint The request's fingerprint.
     */
    void failed(String request, String incarnation, String cause, Fingerprint fingerprint) {
        metrics.counter("attempts_failed_" + cause.toLowerCase(Locale.ROOT)).inc();
        if (logger.mayWrite()) {
            logger.write(
                    LogEvent.of("attempt-failed")
                            .with("request", request)
                            .with("target", incarnation)
                            .with("cause", cause)
                            .with("fingerprint", fingerprint));
        }
    }
}
