package org.martenwell.gateway;

import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.error.ErrorKind;
import org.martenwell.observe.LogEvent;

/** Counts and logs what becomes of requests and what the gateway believes. */
final class GatewayLog {

    /** The log. */
    private static final Logger LOGGER = LogManager.getLogger(GatewayLog.class);

    /** The counters. */
    private final MetricRegistry metrics;

    /**
     * Creates a log.
     *
     * @param metrics Receives the counters.
     */
    GatewayLog(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /**
     * Notes a refusal or failure that the gateway answered.
     *
     * @param request The id of the caller's attempt.
     * @param kind The kind of the answer.
     * @param route The route or an empty text.
     * @param attempts To how many targets the request was sent.
     * @param heldMillis How long it was held, in milliseconds.
     */
    void failed(String request, ErrorKind kind, String route, int attempts, long heldMillis) {
        metrics.counter("requests.failed." + kind.code()).inc();
        if (LOGGER.isInfoEnabled()) {
            LOGGER.info(
                    LogEvent.of("request-failed")
                            .with("request", request)
                            .with("kind", kind.code())
                            .with("route", route)
                            .with("attempts", attempts)
                            .with("heldMillis", heldMillis)
                            .message());
        }
    }

    /**
     * Notes that a request was sent to a target.
     *
     * @param request The id of the caller's attempt.
     * @param target The target's id.
     * @param attempt Which attempt it is, from 1.
     * @param use How much of its fair share the organisation has used.
     * @param backlogMillis How long the target was taken to be busy, in milliseconds.
     */
    void sent(String request, String target, int attempt, double use, double backlogMillis) {
        metrics.counter("requests.sent").inc();
        if (LOGGER.isDebugEnabled()) {
            LOGGER.debug(
                    LogEvent.of("request-sent")
                            .with("request", request)
                            .with("target", target)
                            .with("attempt", attempt)
                            .with("use", use)
                            .with("backlogMillis", backlogMillis)
                            .message());
        }
    }

    /**
     * Notes that an attempt at a target failed.
     *
     * @param request The id of the caller's attempt.
     * @param target The target's id.
     * @param cause What happened.
     */
    void attemptFailed(String request, String target, String cause) {
        metrics.counter("attempts.failed." + cause.toLowerCase(Locale.ROOT)).inc();
        if (LOGGER.isInfoEnabled()) {
            LOGGER.info(
                    LogEvent.of("attempt-failed")
                            .with("request", request)
                            .with("target", target)
                            .with("cause", cause)
                            .message());
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
}
