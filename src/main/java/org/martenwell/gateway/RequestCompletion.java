package org.martenwell.gateway;

import java.util.Optional;
import java.util.Set;
import org.martenwell.admission.WaitRefusal;
import org.martenwell.error.ErrorKind;
import org.martenwell.exchange.CallerExchange;
import org.martenwell.exchange.ResponseFraming;
import org.martenwell.share.Disposition;
import org.martenwell.share.RefusalReason;

/**
 * Completion and accounting of one request: it responds to the caller if no target does, logs and
 * counts the outcome, and releases what the request holds. The caller gets a status that promises
 * that the request was not run only if no target can have run it.
 */
final class RequestCompletion {

    /** The statuses that promise that a request was not run. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private final GatewayCore core;

    private final CallerExchange exchange;

    private final RequestMetadata metadata;

    private final SendHistory history;

    private final RequestStream stream;

    /** Releases what the dispatch of the request holds. */
    private final Runnable release;

    private final LocalResponder localResponder;

    private final DispositionCount dispositionCount;

    /** The name of the route, empty until it is selected. */
    private String route = "";

    /** The caller's organisation, empty until it is known and where callers have no keys. */
    private String organisation = "";

    /** The forecast by which the request was refused, empty if that is not the cause. */
    private Optional<WaitRefusal> forecast = Optional.empty();

    private boolean over;

    /**
     * Creates the completion of a request.
     *
     * @param core The state that all requests share.
     * @param exchange The request and its response.
     * @param metadata The metadata of the request.
     * @param history The attempts.
     * @param stream The stream that the request may resume.
     * @param release Releases what the dispatch of the request holds; called once.
     */
    RequestCompletion(
            GatewayCore core,
            CallerExchange exchange,
            RequestMetadata metadata,
            SendHistory history,
            RequestStream stream,
            Runnable release) {
        this.core = core;
        this.exchange = exchange;
        this.metadata = metadata;
        this.history = history;
        this.stream = stream;
        this.release = release;
        this.localResponder = new LocalResponder(core, exchange, metadata);
        this.dispositionCount = new DispositionCount(core, metadata);
    }

    /** Counts the request as in progress, until it is over. */
    void begin() {
        core.beginRequest();
    }

    /**
     * Sets the route, for the log.
     *
     * @param name The name of the route.
     */
    void routeSelected(String name) {
        route = name;
    }

    /**
     * Sets the caller's organisation, to which the request and its outcome are counted.
     *
     * @param name The name of the organisation, empty where callers have no keys.
     */
    void callerIdentified(String name) {
        organisation = name;
        dispositionCount.requested(name);
    }

    /**
     * Returns whether a status promises that the request was not run.
     *
     * @param status The HTTP status code.
     * @return {@code true} if a caller may retry the request as if it had not been sent.
     */
    static boolean promisesNotRun(int status) {
        return NOT_RUN_STATUSES.contains(status);
    }

    /** {@return {@code true} once the request is over and nothing may be done for it any more} */
    boolean over() {
        return over;
    }

    /**
     * Ends the request without a target's response. If a target may have run it, the caller never
     * gets a status that promises that it was not run. If a response has begun, the connection is
     * closed.
     *
     * @param kind The error to respond with if no target ran the request.
     * @param retrySeconds The delay after which the caller may retry, in seconds, or 0.
     */
    void fail(ErrorKind kind, double retrySeconds) {
        if (exchange.headSent()) {
            recordFailure(ErrorKind.STREAM_BROKEN);
            abort();
        } else if (history.mayHaveRun() && promisesNotRun(kind.status())) {
            respond(ErrorKind.TARGET_FAILED, RetryDelay.NONE);
        } else {
            respond(kind, retrySeconds);
        }
    }

    /**
     * Ends the request without a target's response, as {@link #fail(ErrorKind, double)}.
     *
     * @param kind The error to respond with if no target ran the request.
     * @param delay The delay after which the caller may retry.
     */
    void fail(ErrorKind kind, RetryDelay delay) {
        fail(kind, delay.seconds());
    }

    /**
     * Ends a request that is refused by a limit of this gateway or of the shares.
     *
     * @param reason The limit.
     * @param delay The delay after which the caller may retry.
     */
    void refuse(RefusalReason reason, RetryDelay delay) {
        dispositionCount.refused(organisation, reason);
        fail(reason.kind(), delay);
    }

    /**
     * Ends a request for which no engine has capacity in time.
     *
     * @param refusal The forecast by which it is refused.
     */
    void refuse(WaitRefusal refusal) {
        forecast = Optional.of(refusal);
        dispositionCount.refused(organisation, RefusalReason.ENGINES_FULL);
        fail(RefusalReason.ENGINES_FULL.kind(), refusal.retrySeconds());
    }

    /**
     * Ends a request whose stream is not continued.
     *
     * @param refusal The cause.
     */
    void refuse(StreamRefusal refusal) {
        stream.recordRefusal(refusal);
        fail(refusal.kind(), refusal.retryDelay());
    }

    /** Ends the request by closing the caller's connection. */
    void abort() {
        exchange.abort();
        finish();
    }

    /**
     * Ends the request with a response of the gateway itself, without regard to its attempts. If a
     * response has begun, the connection is closed.
     *
     * @param kind The error to respond with.
     * @param delay The delay after which the caller may retry.
     */
    void respond(ErrorKind kind, RetryDelay delay) {
        if (exchange.headSent()) {
            fail(kind, delay);
        } else {
            respond(kind, delay.seconds());
        }
    }

    private void respond(ErrorKind kind, double retrySeconds) {
        recordFailure(kind);
        stream.recordFailure(kind);
        if (forecast.isPresent()) {
            localResponder.respondWithForecast(kind, retrySeconds);
        } else {
            localResponder.respond(kind, retrySeconds);
        }
        finish();
    }

    /**
     * Logs and counts that the request ends without a target's response.
     *
     * @param kind The error.
     */
    void recordFailure(ErrorKind kind) {
        dispositionCount.ended(organisation, Disposition.of(kind));
        core.log()
                .requests()
                .failed(requestId(), kind, route, organisation, history, elapsedMillis(), forecast);
    }

    /** Counts that a target serves the request. */
    void recordServed() {
        dispositionCount.ended(organisation, Disposition.SERVED);
    }

    /**
     * Ends the request, whose response by a target has been passed on.
     *
     * @param target The id of the target.
     * @param status The HTTP status code.
     * @param framing The way in which the end of the response was determined.
     * @param pace The times at which the body arrived.
     */
    void complete(String target, int status, ResponseFraming framing, ResponsePace pace) {
        core.log()
                .requests()
                .ended(requestId(), route, target, status, framing, history, pace, elapsedMillis());
        finish();
    }

    /** Releases the resources of the request. */
    void finish() {
        if (!over) {
            over = true;
            core.endRequest();
            release.run();
        }
    }

    /** Ends a request of which a step has thrown, also if no response can be made. */
    void endDefective() {
        if (over) {
            return;
        }
        try {
            if (history.attempts() > 0 || history.mayHaveRun()) {
                fail(ErrorKind.INTERNAL, RetryDelay.NONE);
            } else {
                fail(ErrorKind.ROUTER_FULL, RetryDelay.ELSEWHERE);
            }
        } finally {
            if (!over) {
                finish();
                exchange.failed();
            }
        }
    }

    private String requestId() {
        return metadata.requestId().orElse("");
    }

    /** Returns the time since the request arrived, in milliseconds. */
    private long elapsedMillis() {
        return core.now() - exchange.request().arrivedMillis();
    }
}
