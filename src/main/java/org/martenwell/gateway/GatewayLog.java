package org.martenwell.gateway;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import io.activej.reactor.nio.NioReactor;
import java.util.Locale;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.balance.EngineChoice;
import org.martenwell.balance.NoticeSource;
import org.martenwell.error.ErrorKind;
import org.martenwell.observe.HighDynamicRangeReservoir;
import org.martenwell.observe.LogEvent;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.share.ShareUse;

/**
 * Counts and logs what becomes of requests and what the gateway believes. Lines about requests are
 * bounded, and the next line that is written tells how many were left out.
 */
final class GatewayLog {

    /** The log. */
    private static final Logger LOGGER = LogManager.getLogger(GatewayLog.class);

    /** The loop, for the time. */
    private final NioReactor reactor;

    /** The counters. */
    private final MetricRegistry metrics = new MetricRegistry();

    /** How long first pieces of answers took, in milliseconds. */
    private final Histogram firstPieces =
            metrics.register("first_piece_millis", new Histogram(new HighDynamicRangeReservoir()));

    /** Bounds lines about requests. */
    private final LineBudget budget = new LineBudget();

    /**
     * Creates a log.
     *
     * @param reactor The loop, for the time.
     */
    GatewayLog(NioReactor reactor) {
        this.reactor = reactor;
    }

    /**
     * Returns the counters.
     *
     * @return The counters.
     */
    MetricRegistry metrics() {
        return metrics;
    }

    /**
     * Notes a refusal or failure that the gateway answered, or that the caller left.
     *
     * @param request The id of the caller's attempt.
     * @param kind The kind of the answer.
     * @param route The route or an empty text.
     * @param organisation The caller's organisation or an empty text.
     * @param attempts To how many targets the request was sent.
     * @param heldMillis How long it was held, in milliseconds.
     */
    void failed(
            String request,
            ErrorKind kind,
            String route,
            String organisation,
            int attempts,
            long heldMillis) {
        metrics.counter("requests_failed_" + kind.code()).inc();
        if (writes()) {
            write(
                    LogEvent.of("request-failed")
                            .with("request", request)
                            .with("kind", kind.code())
                            .with("route", route)
                            .with("organisation", organisation)
                            .with("attempts", attempts)
                            .with("heldMillis", heldMillis));
        }
    }

    /**
     * Notes that a request was sent to a target of a plain service.
     *
     * @param request The id of the caller's attempt.
     * @param target The target's id.
     * @param attempt Which attempt it is, from 1.
     */
    void sent(String request, String target, int attempt) {
        metrics.counter("requests_sent").inc();
        if (writes()) {
            write(
                    LogEvent.of("request-sent")
                            .with("request", request)
                            .with("target", target)
                            .with("attempt", attempt));
        }
    }

    /**
     * Notes that a request was sent to an engine.
     *
     * @param request The id of the caller's attempt.
     * @param choice The engine and why it was chosen.
     * @param attempt Which attempt it is, from 1.
     * @param organisation The organisation.
     * @param use How much of its fair shares the organisation has used.
     */
    void sent(String request, EngineChoice choice, int attempt, String organisation, ShareUse use) {
        metrics.counter("requests_sent").inc();
        metrics.counter("requests_sent_" + use.tier().name().toLowerCase(Locale.ROOT)).inc();
        if (writes()) {
            write(
                    LogEvent.of("request-sent")
                            .with("request", request)
                            .with("target", choice.load().target().id())
                            .with("attempt", attempt)
                            .with("organisation", organisation)
                            .with("tier", use.tier())
                            .with("promisedUse", use.promised())
                            .with("unreadTokens", choice.prefillTokens())
                            .with("backlogMillis", Math.round(choice.backlogMillis()))
                            .with("copy", choice.copyFrom().isPresent()));
        }
    }

    /**
     * Notes that a request was answered by a target.
     *
     * @param request The id of the caller's attempt.
     * @param status The status.
     * @param attempts To how many targets the request was sent.
     * @param heldMillis How long it was held, in milliseconds.
     */
    void ended(String request, int status, int attempts, long heldMillis) {
        metrics.counter("requests_answered").inc();
        if (writes()) {
            write(
                    LogEvent.of("request-ended")
                            .with("request", request)
                            .with("status", status)
                            .with("attempts", attempts)
                            .with("heldMillis", heldMillis));
        }
    }

    /**
     * Notes how long the first piece of an answer took.
     *
     * @param millis The time since the request arrived, in milliseconds.
     */
    void firstPiece(long millis) {
        firstPieces.update(millis);
    }

    /**
     * Notes that an attempt at a target failed.
     *
     * @param request The id of the caller's attempt.
     * @param target The target's id.
     * @param cause What happened.
     */
    void attemptFailed(String request, String target, String cause) {
        metrics.counter("attempts_failed_" + cause.toLowerCase(Locale.ROOT)).inc();
        if (writes()) {
            write(
                    LogEvent.of("attempt-failed")
                            .with("request", request)
                            .with("target", target)
                            .with("cause", cause));
        }
    }

    /**
     * Notes that an attempt at a target broke off after the request was sent.
     *
     * @param request The id of the caller's attempt.
     * @param life The target's life.
     * @param cause What happened.
     * @param fingerprint What the request has in common with others that are the same.
     */
    void attemptBroken(String request, String life, String cause, Fingerprint fingerprint) {
        metrics.counter("attempts_failed_" + cause.toLowerCase(Locale.ROOT)).inc();
        if (writes()) {
            write(
                    LogEvent.of("attempt-failed")
                            .with("request", request)
                            .with("target", life)
                            .with("cause", cause)
                            .with("fingerprint", fingerprint));
        }
    }

    /**
     * Notes that a target leaves.
     *
     * @param life The target's life.
     * @param source From where that is known first.
     */
    void leaving(String life, NoticeSource source) {
        String from = source.name().toLowerCase(Locale.ROOT);
        metrics.counter("targets_leaving_by_" + from).inc();
        if (writes()) {
            write(LogEvent.of("target-leaving").with("target", life).with("learntFrom", from));
        }
    }

    /**
     * Notes that a target asked this gateway for rest.
     *
     * @param life The target's life.
     * @param millis For how long, in milliseconds.
     */
    void resting(String life, long millis) {
        metrics.counter("targets_resting").inc();
        if (writes()) {
            write(LogEvent.of("target-rests").with("target", life).with("millis", millis));
        }
    }

    /**
     * Notes that a target ended while it had a request.
     *
     * @param suspect The request.
     * @param life The target's life.
     * @param lives How many targets have ended under it, as far as is known.
     */
    void suspected(Suspect suspect, String life, int lives) {
        metrics.counter("requests_suspected").inc();
        if (writes()) {
            write(
                    LogEvent.of("request-suspected")
                            .with("fingerprint", suspect.fingerprint())
                            .with("path", suspect.summary().path())
                            .with("organisation", suspect.summary().organisation())
                            .with("target", life)
                            .with("targetsEnded", lives));
        }
    }

    /**
     * Notes that a request is held back or no longer is.
     *
     * @param event What changed.
     * @param fingerprint The request.
     * @param learntFrom Where that was learnt.
     */
    void quarantined(String event, Fingerprint fingerprint, String learntFrom) {
        metrics.counter(event.replace('-', '_')).inc();
        if (writes()) {
            write(
                    LogEvent.of(event)
                            .with("fingerprint", fingerprint)
                            .with("learntFrom", learntFrom));
        }
    }

    /**
     * Counts changes of what an engine keeps.
     *
     * @param count How many came at once.
     * @param lost Whether earlier ones are no longer known to the engine.
     */
    void keptChanges(int count, boolean lost) {
        metrics.counter("kept_changes").inc(count);
        if (lost) {
            metrics.counter("kept_changes_lost").inc();
        }
    }

    /**
     * Counts a change that differs from what was believed.
     *
     * @param kept Whether the engine keeps the part, which was not known; else it dropped it.
     */
    void keptCorrected(boolean kept) {
        metrics.counter(kept ? "kept_parts_learnt" : "kept_parts_dropped").inc();
    }

    /**
     * Notes that an entry of the directory can't be read, so that it is left out.
     *
     * @param name The entry's name.
     * @param reason What is wrong with it.
     */
    void unreadable(String name, String reason) {
        metrics.counter("entries_unreadable").inc();
        if (writes()) {
            write(LogEvent.of("entry-unreadable").with("name", name).with("reason", reason));
        }
    }

    /**
     * Notes that the gateway's view of the world changed.
     *
     * @param event What changed.
     * @param detail The new value.
     */
    void changed(String event, Object detail) {
        LOGGER.info(LogEvent.of(event).with("detail", detail).message());
    }

    /**
     * Takes a line about a request from the budget.
     *
     * @return {@code true} if it may be written.
     */
    private boolean writes() {
        if (!LOGGER.isInfoEnabled()) {
            return false;
        }
        boolean allowed = budget.take(reactor.currentTimeMillis());
        if (!allowed) {
            metrics.counter("log_lines_dropped").inc();
        }
        return allowed;
    }

    /**
     * Writes a line.
     *
     * @param event The line.
     */
    private void write(LogEvent event) {
        long dropped = budget.takeDropped();
        LOGGER.info((dropped > 0 ? event.with("linesDropped", dropped) : event).message());
    }
}
