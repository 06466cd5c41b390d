package org.martenwell.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.Retryability;
import org.martenwell.exchange.CallerExchange;

/** Sends responses that the gateway generates itself, without a target. */
final class LocalResponder {

    /** The upper limit of the random delay that is added to {@code Retry-After}, in seconds. */
    private static final double MAX_JITTER_SECONDS = 2;

    /** The largest part of a forecast delay that is added at random. */
    private static final double FORECAST_JITTER = 0.25;

    private static final int HUNDREDTHS = 100;

    private static final int TENTHS = 10;

    private static final byte[] EMPTY_BODY = new byte[0];

    private final GatewayCore core;

    private final CallerExchange exchange;

    private final RequestMetadata metadata;

    /**
     * Creates the responder for a request.
     *
     * @param core The state that all requests share.
     * @param exchange The request and its response.
     * @param metadata The metadata of the request.
     */
    LocalResponder(GatewayCore core, CallerExchange exchange, RequestMetadata metadata) {
        this.core = core;
        this.exchange = exchange;
        this.metadata = metadata;
    }

    /**
     * Responds to the request with an empty body.
     *
     * @param kind The error, which determines the status.
     * @param retrySeconds The delay after which the caller may retry, in seconds, or 0 to state
     *     none. The header holds this delay with random jitter added.
     */
    void respond(ErrorKind kind, double retrySeconds) {
        respond(kind, retrySeconds, Math.min(retrySeconds, MAX_JITTER_SECONDS));
    }

    /**
     * Responds to the request with an empty body and the time after which a place is forecast.
     *
     * @param kind The error, which determines the status.
     * @param retrySeconds The delay after which the caller may retry, in seconds. The header holds
     *     this delay with up to a quarter added, so that refused callers don't return together.
     */
    void respondWithForecast(ErrorKind kind, double retrySeconds) {
        respond(kind, retrySeconds, FORECAST_JITTER * retrySeconds);
    }

    private void respond(ErrorKind kind, double retrySeconds, double maxJitterSeconds) {
        HttpHeaders headers = core.dialect().localResponse(metadata);
        if (retrySeconds > 0 && kind.retryability() != Retryability.NEVER) {
            double jitter = maxJitterSeconds * core.random();
            headers.set(HttpHeaderNames.RETRY_AFTER, twoDecimals(retrySeconds + jitter));
        }
        if (kind == ErrorKind.ROUTER_FULL) {
            // The caller retries on a new connection; this one would only take memory.
            exchange.respondAndClose(kind.status(), headers, EMPTY_BODY);
        } else {
            exchange.respond(kind.status(), headers, EMPTY_BODY);
        }
    }

    /**
     * Formats a number with two decimals, without the cost of a format string.
     *
     * @param number The number, not negative.
     * @return The rounded number.
     */
    static String twoDecimals(double number) {
        long hundredths = Math.round(number * HUNDREDTHS);
        long decimals = hundredths % HUNDREDTHS;
        return hundredths / HUNDREDTHS + (decimals < TENTHS ? ".0" : ".") + decimals;
    }
}
