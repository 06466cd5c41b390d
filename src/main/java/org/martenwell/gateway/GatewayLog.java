package org.martenwell.gateway;

import com.codahale.metrics.MetricRegistry;
import io.activej.reactor.nio.NioReactor;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.exchange.ClosedConnection;
import org.martenwell.exchange.ConnectionLimits;
import org.martenwell.observe.LogEvent;

/**
 * Log lines and metrics of a gateway: its own state and connections here, those about requests and
 * targets by subject. Lines about requests, targets and connections are rate-limited; the line
 * after suppressed ones states their number.
 */
final class GatewayLog {

    private static final Logger LOGGER = LogManager.getLogger(GatewayLog.class);

    private static final double LINES_PER_SECOND = 120;

    private static final double BURST_LINES = 600;

    private static final double CLOSES_PER_SECOND = 10;

    private static final double BURST_CLOSES = 50;

    private final MetricRegistry metrics = new MetricRegistry();

    /** Limits the lines of all subjects together. */
    private final RateLimitedLogger logger;

    /** Apart from other lines, since many connections may close at once. */
    private final RateLimitedLogger closeLogger;

    private final RequestLog requests;

    private final AttemptLog attempts;

    private final StreamLog streams;

    private final TargetLog targets;

    private final QuarantineLog quarantine;

    /**
     * Creates a log.
     *
     * @param reactor The event loop, whose time the rate limit uses.
     */
    GatewayLog(NioReactor reactor) {
        this.logger =
                new RateLimitedLogger(
                        reactor, metrics, new LogRateLimiter(LINES_PER_SECOND, BURST_LINES));
        this.closeLogger =
                new RateLimitedLogger(
                        reactor, metrics, new LogRateLimiter(CLOSES_PER_SECOND, BURST_CLOSES));
        this.requests = new RequestLog(metrics, logger);
        this.attempts = new AttemptLog(metrics, logger);
        this.streams = new StreamLog(metrics, logger);
        this.targets = new TargetLog(metrics, logger);
        this.quarantine = new QuarantineLog(metrics, logger);
    }

    /**
     * Returns the metrics of the gateway.
     *
     * @return The registry, to which other classes add their own metrics.
     */
    MetricRegistry metrics() {
        return metrics;
    }

    /** {@return the log of requests} */
    RequestLog requests() {
        return requests;
    }

    /** {@return the log of attempts at targets} */
    AttemptLog attempts() {
        return attempts;
    }

    /** {@return the log of resumable streams} */
    StreamLog streams() {
        return streams;
    }

    /** {@return the log of targets} */
    TargetLog targets() {
        return targets;
    }

    /** {@return the log of suspected and quarantined requests} */
    QuarantineLog quarantine() {
        return quarantine;
    }

    /**
     * Records that an entry of the directory can't be read and is ignored.
     *
     * @param name The entry's name.
     * @param reason The problem with the entry.
     */
    void unreadable(String name, String reason) {
        metrics.counter("entries_unreadable").inc();
        if (logger.mayWrite()) {
            logger.write(LogEvent.of("entry-unreadable").with("name", name).with("reason", reason));
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
     * @param requestId Provides the id of the request that it ended without a response, empty if
     *     there is none.
     */
    void connectionClosed(ClosedConnection closed, Supplier<Optional<String>> requestId) {
        String reason = closed.reason().label();
        metrics.counter("connections_closed_" + reason).inc();
        if (closed.bytes().unread() > 0) {
            metrics.counter("connections_closed_unread").inc();
        }
        if (closed.unanswered().isPresent()) {
            metrics.counter("requests_unanswered_" + reason).inc();
        }
        if (closed.notable() && closeLogger.mayWrite()) {
            LogEvent event =
                    LogEvent.of("connection-closed")
                            .with("reason", reason)
                            .with("state", closed.state().label())
                            .with("stateMillis", closed.stateMillis())
                            .with("lateMillis", closed.lateMillis())
                            .with("unreadBytes", closed.bytes().unread())
                            .with("unwrittenBytes", closed.bytes().unwritten())
                            .with("discardedBytes", closed.bytes().discarded())
                            .with("headerTimeoutMillis", closed.limits().headerTimeoutMillis())
                            .with("idleTimeoutMillis", closed.limits().idleTimeoutMillis());
            if (closed.unanswered().isPresent()) {
                event.with("request", requestId.get().orElse(""));
            }
            closeLogger.write(event);
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
}
