package org.martenwell.gateway;

import com.codahale.metrics.MetricRegistry;
import io.activej.reactor.nio.NioReactor;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.observe.LogEvent;

/**
 * Logger with a limited rate of lines. The line after suppressed ones states their number, which
 * the metrics count too.
 */
final class RateLimitedLogger {

    /** Has the name of the log of the gateway, which its lines contain. */
    private static final Logger LOGGER = LogManager.getLogger(GatewayLog.class);

    private final NioReactor reactor;

    private final MetricRegistry metrics;

    private final LogRateLimiter rateLimiter;

    /**
     * Creates a logger.
     *
     * @param reactor The event loop, whose time the rate limit uses.
     * @param metrics Receives the number of suppressed lines.
     * @param rateLimiter The limit.
     */
    RateLimitedLogger(NioReactor reactor, MetricRegistry metrics, LogRateLimiter rateLimiter) {
        this.reactor = reactor;
        this.metrics = metrics;
        this.rateLimiter = rateLimiter;
    }

    /**
     * Returns whether a line may be written, and counts it if not. Called before the line is built,
     * so that suppressed lines cost little.
     *
     * @return {@code true} if the caller may write one line.
     */
    boolean mayWrite() {
        if (!LOGGER.isInfoEnabled()) {
            return false;
        }
        boolean allowed = rateLimiter.tryAcquire(reactor.currentTimeMillis());
        if (!allowed) {
            metrics.counter("log_lines_dropped").inc();
        }
        return allowed;
    }

    /**
     * Writes a line that {@link #mayWrite} has allowed.
     *
     * @param event The line.
     */
    void write(LogEvent event) {
        LOGGER.info(withSuppressed(event).message());
    }

    /**
     * Writes a line on a fault that {@link #mayWrite} has allowed.
     *
     * @param event The line.
     */
    void warn(LogEvent event) {
        LOGGER.warn(withSuppressed(event).message());
    }

    /** Adds the number of suppressed lines to the first line behind them. */
    private LogEvent withSuppressed(LogEvent event) {
        long suppressed = rateLimiter.takeSuppressed();
        return suppressed > 0 ? event.with("linesDropped", suppressed) : event;
    }
}
