package org.martenwell.gateway;

import java.util.Optional;
import org.martenwell.exchange.CallerExchange;
import org.martenwell.route.Route;
import org.martenwell.service.StepGuard;

/**
 * A request that this gateway has accepted: its route, caller and deadline, and the attempts made
 * so far.
 *
 * @param core The state that all requests share.
 * @param exchange The request and its response.
 * @param metadata The metadata of the request.
 * @param guard Runs all timers and callbacks of the request.
 * @param route The route.
 * @param organisation The caller's organisation, empty where callers have no keys.
 * @param identity The fingerprints of the request.
 * @param deadlineMillis The time at which the request times out, in milliseconds.
 * @param history The attempts.
 */
record AcceptedRequest(
        GatewayCore core,
        CallerExchange exchange,
        RequestMetadata metadata,
        StepGuard guard,
        Route route,
        Optional<String> organisation,
        RequestIdentity identity,
        long deadlineMillis,
        SendHistory history) {

    /**
     * Returns the time until the deadline.
     *
     * @return The time in milliseconds, negative after the deadline.
     */
    long remainingMillis() {
        return deadlineMillis - core.now();
    }

    /**
     * Returns the time since the request arrived.
     *
     * @return The time in milliseconds.
     */
    long elapsedMillis() {
        return core.now() - exchange.request().arrivedMillis();
    }

    /**
     * Returns the id that the caller gave to the request, for the log.
     *
     * @return The id or an empty string.
     */
    String requestId() {
        return metadata.requestId().orElse("");
    }

    /**
     * Returns the name of the organisation that the request is charged to.
     *
     * @return The name, empty where callers have no keys.
     */
    String organisationName() {
        return organisation.orElse("");
    }

    /**
     * Returns whether the request may be retried, and if so takes the retry from the budget.
     *
     * @return {@code true} if the caller has to retry the request.
     */
    boolean takeRetry() {
        return mayRetry() && core.takeRetry();
    }

    /** {@return {@code true} if the route and the deadline permit another attempt} */
    boolean mayRetry() {
        return history.attempts() < route.maxAttempts() && remainingMillis() > 0;
    }
}
