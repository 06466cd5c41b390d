package org.martenwell.gateway;

import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.Optional;
import org.martenwell.error.ErrorKind;
import org.martenwell.exchange.CallerExchange;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.route.GatewayConfiguration;
import org.martenwell.route.OrganisationConfiguration;
import org.martenwell.route.Route;
import org.martenwell.service.ResponseTimeout;
import org.martenwell.service.StepGuard;
import org.martenwell.share.RefusalReason;
import org.martenwell.stream.CompleteEventFilter;
import org.martenwell.version.ServiceVersion;

/**
 * Dispatch of one request: it selects the route, identifies the caller, admits or refuses the
 * request, has it sent, and ends it early when its deadline passes, its caller disconnects, it is
 * quarantined or one of its steps fails.
 */
final class RequestDispatch {

    private final GatewayCore core;

    private final CallerExchange exchange;

    private final RequestMetadata metadata;

    private final SendHistory history = new SendHistory();

    private final RequestStream stream;

    private final ResponseRelay relay;

    private final RequestCompletion completion;

    /** Runs all timers and callbacks of the request, so that it ends if one of them throws. */
    private final StepGuard guard;

    /** Set if the request was accepted before, so that a shutdown doesn't refuse it. */
    private boolean acceptedBefore;

    /** Set if another gateway took the first attempt of this one from its retry budget. */
    private boolean retryPaid;

    /** The request or {@code null} until it is accepted. */
    private AcceptedRequest request;

    /** The sender or {@code null} until the request is accepted. */
    private RequestSender sender;

    private ScheduledRunnable deadlineTimer;

    /**
     * Creates the dispatch of a request.
     *
     * @param core The state that all requests share.
     * @param exchange The request and its response.
     */
    RequestDispatch(GatewayCore core, CallerExchange exchange) {
        this.core = core;
        this.exchange = exchange;
        this.metadata = core.dialect().read(exchange.request().headers());
        this.guard = StepGuard.of("RequestDispatch", metadata::requestId, this::stepFailed);
        this.relay = new ResponseRelay(core, exchange, guard);
        this.stream = new RequestStream(core, metadata);
        this.completion =
                new RequestCompletion(core, exchange, metadata, history, stream, this::release);
    }

    /** Starts the dispatch, or refuses the request at once. */
    void start() {
        guard.run(this::begin);
    }

    /**
     * Starts the dispatch of a request that was offloaded to another gateway before. One that may
     * have run is only sent if it may be retried.
     *
     * @param work What the other gateway has done.
     */
    void continueWith(OffloadedWork work) {
        acceptedBefore = true;
        retryPaid = work.retryPaid();
        history.recordOffloaded(work.attempts());
        work.forwarded().ifPresent(this::continueBehind);
        start();
    }

    private void continueBehind(CompleteEventFilter forwarded) {
        relay.continueBehind(forwarded);
        if (relay.eventForwarded()) {
            stream.continueHere();
        }
    }

    private void begin() {
        completion.begin();
        Optional<GatewayConfiguration> configuration = core.configuration();
        if (core.closing() && !acceptedBefore) {
            completion.fail(ErrorKind.DRAINING, RetryDelay.ELSEWHERE);
            return;
        }
        if (configuration.isEmpty()) {
            completion.fail(ErrorKind.NOT_READY, RetryDelay.CAPACITY);
            return;
        }
        Optional<Route> found = core.routes().find(metadata.host(), exchange.request().path());
        if (found.isEmpty()) {
            completion.respond(ErrorKind.UNKNOWN_PATH, RetryDelay.NONE);
            return;
        }
        Route route = found.get();
        completion.routeSelected(route.name());
        Optional<String> organisation = Optional.empty();
        if (configuration.get().apiKeysRequired() && !route.anonymous()) {
            Optional<OrganisationConfiguration> caller =
                    metadata.key().map(configuration.get().keys()::get);
            if (caller.isEmpty()) {
                completion.respond(ErrorKind.UNAUTHENTICATED, RetryDelay.NONE);
                return;
            }
            if (!caller.get().valid()) {
                completion.fail(ErrorKind.INVALID_ORGANISATION, RetryDelay.NONE);
                return;
            }
            organisation = caller.map(OrganisationConfiguration::name);
        }
        completion.callerIdentified(organisation.orElse(""));
        stream.callerIdentified(organisation.orElse(""));
        Optional<RefusalReason> overload = overload(route, organisation.orElse(""));
        if (overload.isPresent()) {
            recordRefusedDemand(configuration.get(), route, organisation.orElse(""));
            completion.refuse(overload.get(), RetryDelay.ELSEWHERE);
            return;
        }
        accept(configuration.get(), route, organisation);
    }

    /** Returns the limit of this gateway that the request exceeds, or empty. */
    private Optional<RefusalReason> overload(Route route, String organisation) {
        if (history.mayHaveRun()) {
            // It was admitted before, and no refusal could promise that it was not run.
            return Optional.empty();
        }
        double cost = metadata.generation().map(GenerationMetadata::cost).orElse(0.0);
        return stream.takePrecedence(route)
                ? core.overload().refusalOfContinued(organisation, cost, core.now())
                : core.overload().refusal(organisation, cost, core.now());
    }

    /**
     * Records the demand of a request that is refused before its engine is looked for. The fleet
     * would otherwise lend the share of its organisation to others.
     */
    private void recordRefusedDemand(
            GatewayConfiguration configuration, Route route, String organisation) {
        if (metadata.generation().isPresent() && configuration.leadsToEngines(route)) {
            core.shares().requested(organisation, metadata.generation().get().cost(), core.now());
        }
    }

    /** Accepts a request whose route and organisation are known, and tries to send it. */
    private void accept(
            GatewayConfiguration configuration, Route route, Optional<String> organisation) {
        long timeout =
                Math.min(route.timeoutMillis(), metadata.timeoutMillis().orElse(Long.MAX_VALUE));
        request =
                new AcceptedRequest(
                        core,
                        exchange,
                        metadata,
                        guard,
                        route,
                        organisation,
                        new RequestIdentity(
                                core.fingerprints(),
                                exchange.request(),
                                route,
                                organisation.orElse(""),
                                metadata.generation()),
                        exchange.request().arrivedMillis() + timeout,
                        history);
        sender = new RequestSender(request, stream, relay, completion);
        exchange.onDisconnect(guard.guarded(this::callerDisconnected));
        exchange.onStop(guard.guarded(this::gatewayStops));
        deadlineTimer =
                core.reactor()
                        .delayBackground(
                                Math.max(1, request.remainingMillis()),
                                guard.guarded(this::deadlinePassed));
        core.harmful().begin(this);
        if (history.mayHaveRun() && request.remainingMillis() <= 0) {
            sender.timedOut();
            return;
        }
        if (history.mayHaveRun() && !mayRetryHere()) {
            completion.fail(ErrorKind.TARGET_FAILED, RetryDelay.NONE);
            return;
        }
        if (stream.resumes(route)) {
            stream.find(
                    route,
                    request.remainingMillis(),
                    guard.<StreamLookup>guarded(this::streamFound));
        } else {
            sender.start(configuration, TargetSelector.of(route.service(core.random())));
        }
    }

    /**
     * Returns whether a request may be retried whose attempts another gateway made, and if so takes
     * the retry from the budget, unless the other gateway has.
     */
    private boolean mayRetryHere() {
        if (retryPaid) {
            return request.route().repeatable() && request.mayRetry();
        }
        // The budget of the lost gateway, which counted the request, is lost with it. A gateway
        // that offloads nearly all requests could otherwise retry none.
        core.countFirstAttempt();
        return request.route().repeatable() && request.takeRetry();
    }

    /** Continues a stream at the version that began it, or refuses that if it can't be known. */
    private void streamFound(StreamLookup lookup) {
        if (completion.over()) {
            return;
        }
        Optional<GatewayConfiguration> configuration = core.configuration();
        stream.takePrecedence(request.route());
        Optional<ServiceVersion> version = stream.resume(lookup, request.route());
        if (version.isEmpty() || configuration.isEmpty()) {
            completion.refuse(lookup.refusal().orElse(StreamRefusal.ROUTE_CHANGED));
        } else {
            sender.start(configuration.get(), TargetSelector.of(version.get()));
        }
    }

    /**
     * Cancels the request if it or a part of its prompt was quarantined.
     *
     * @param fingerprint The quarantined fingerprint.
     */
    void stopIfQuarantined(Fingerprint fingerprint) {
        guard.run(() -> endIfQuarantined(fingerprint));
    }

    private void endIfQuarantined(Fingerprint fingerprint) {
        RequestIdentity identity = request.identity();
        if (identity.matches(fingerprint) && core.harmful().refusal(identity).isPresent()) {
            sender.attemptHandler().cancel();
            completion.fail(ErrorKind.ENDS_TARGETS, RetryDelay.NONE);
        }
    }

    /** Ends the request, behind the next read if a response to it may have arrived. */
    private void deadlinePassed() {
        if (sender.attemptHandler().inProgress()) {
            ResponseTimeout.afterNextRead(core.reactor(), guard.guarded(sender::timedOut));
        } else {
            sender.timedOut();
        }
    }

    /** Ends the request, to which no response has begun, while its caller can still be told. */
    private void gatewayStops() {
        if (completion.over()) {
            return;
        }
        boolean neverSent = history.attempts() == 0;
        sender.attemptHandler().cancel();
        if (neverSent) {
            completion.fail(ErrorKind.DRAINING, RetryDelay.ELSEWHERE);
        } else {
            completion.fail(ErrorKind.TARGET_FAILED, RetryDelay.NONE);
        }
    }

    private void callerDisconnected() {
        if (completion.over()) {
            return;
        }
        completion.recordFailure(ErrorKind.CALLER_LEFT);
        sender.attemptHandler().cancel();
        completion.finish();
    }

    /** Ends the request, of which a step has thrown an exception or error. */
    private void stepFailed(Throwable thrown) {
        try {
            if (sender != null) {
                sender.attemptHandler().cancelDefective();
            }
        } finally {
            completion.endDefective();
        }
    }

    /** Releases what the dispatch holds of a request that is over. */
    private void release() {
        if (sender != null) {
            core.queue().remove(sender);
        }
        if (history.attempts() == 0) {
            stream.givePrecedenceBack();
        }
        core.harmful().end(this);
        relay.release();
        if (deadlineTimer != null) {
            deadlineTimer.cancel();
        }
    }
}
