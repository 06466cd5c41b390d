package org.martenwell.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.Repeat;
import org.martenwell.exchange.CallerExchange;

/** Gives a caller the answers that the gateway makes itself. */
final class LocalResponder {

    /** Over how long the times at which callers may come back are spread at most, in seconds. */
    private static final double MAX_SPREAD_SECONDS = 2;

    /** What all requests share. */
    private final GatewayCore core;

    /** The request and its answer. */
    private final CallerExchange exchange;

    /** What the caller states. */
    private final RequestFacts facts;

    /**
     * Creates what answers a request.
     *
     * @param core What all requests share.
     * @param exchange The request and its answer.
     * @param facts What the caller states.
     */
    LocalResponder(GatewayCore core, CallerExchange exchange, RequestFacts facts) {
        this.core = core;
        this.exchange = exchange;
        this.facts = facts;
    }

    /**
     * Answers the request.
     *
     * @param kind The kind of the answer.
     * @param retrySeconds When the caller may come back, in seconds, or 0.
     */
    void give(ErrorKind kind, double retrySeconds) {
        HttpHeaders headers = core.dialect().ownAnswer(facts);
        if (retrySeconds > 0 && kind.repeat() != Repeat.NEVER) {
            double spread = Math.min(retrySeconds, MAX_SPREAD_SECONDS) * core.random();
            headers.set(
                    HttpHeaderNames.RETRY_AFTER,
                    String.format(Locale.ROOT, "%.2f", retrySeconds + spread));
        }
        exchange.respond(kind.status(), headers, new byte[0]);
    }
}
