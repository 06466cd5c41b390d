package org.martenwell.exchange;

/** Handles complete requests of callers. */
@FunctionalInterface
public interface RequestHandler {

    /**
     * Handles a request. Called on the event loop; the exchange must be responded to or aborted,
     * possibly later.
     *
     * @param exchange The request and its pending response.
     */
    void handle(CallerExchange exchange);
}
