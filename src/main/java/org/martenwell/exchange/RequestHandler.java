package org.martenwell.exchange;

/** Serves whole requests of callers. */
@FunctionalInterface
public interface RequestHandler {

    /**
     * Serves a request. Called in the loop's thread; it must answer or abort the exchange in time.
     *
     * @param exchange The request and the way to answer it.
     */
    void handle(CallerExchange exchange);
}
