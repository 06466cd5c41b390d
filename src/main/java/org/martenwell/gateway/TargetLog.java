package org.martenwell.gateway;

import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import org.martenwell.balance.NoticeSource;
import org.martenwell.observe.LogEvent;

/** Log lines and metrics about the availability of targets and the prompt caches of engines. */
final class TargetLog {

    private final MetricRegistry metrics;

    private final RateLimitedLogger logger;

    /**
     * Creates a log.
     *
     * @param metrics The metrics of the gateway.
     * @param logger Writes the lines.
     */
    TargetLog(MetricRegistry metrics, RateLimitedLogger logger) {
        this.metrics = metrics;
        this.logger = logger;
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
        if (logger.mayWrite()) {
            logger.write(
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
        if (logger.mayWrite()) {
            logger.write(
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
        if (logger.mayWrite()) {
            logger.write(
                    LogEvent.of("target-rests").with("target", incarnation).with("millis", millis));
        }
    }

    /**
     * Records a final response of a target that is given to no request.
     *
     * @param incarnation The target's incarnation.
     * @param status The status code of the response.
     * @param cause The reason.
     */
    void responseDiscarded(String incarnation, int status, DiscardCause cause) {
        String label = cause.name().toLowerCase(Locale.ROOT);
        metrics.counter("responses_discarded_" + label).inc();
        if (logger.mayWrite()) {
            logger.write(
                    LogEvent.of("response-discarded")
                            .with("target", incarnation)
                            .with("status", status)
                            .with("cause", label));
        }
    }

    /**
     * Records that a target crashed.
     *
     * @param incarnation The target's incarnation.
     * @param source The source that shows it.
     */
    void crashed(String incarnation, CrashSource source) {
        String from = source.name().toLowerCase(Locale.ROOT);
        metrics.counter("targets_crashed_by_" + from).inc();
        if (logger.mayWrite()) {
            logger.write(
                    LogEvent.of("target-crashed")
                            .with("target", incarnation)
                            .with("learntFrom", from));
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

    /** Counts a report on a prompt cache that was sent in response to an earlier request. */
    void cacheReportOutdated() {
        metrics.counter("kept_reports_outdated").inc();
    }

    /**
     * Counts a response about a prompt cache that can't be read.
     *
     * @param incarnation The incarnation of the engine that sent it.
     * @param reason The reason.
     * @param logged {@code true} to log it too.
     */
    void cacheReportUnreadable(String incarnation, String reason, boolean logged) {
        metrics.counter("kept_reports_unreadable").inc();
        if (logged && logger.mayWrite()) {
            logger.warn(
                    LogEvent.of("kept-report-unreadable")
                            .with("target", incarnation)
                            .with("reason", reason));
        }
    }
}
