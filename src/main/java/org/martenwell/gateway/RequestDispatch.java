package org.martenwell.gateway;

import io.activej.reactor.schedule.ScheduledRunnable;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.martenwell.admission.WaitRank;
import org.martenwell.admission.WaitRefusal;
import org.martenwell.admission.WaitingRequest;
import org.martenwell.balance.EngineChoice;
import org.martenwell.balance.RunningRequest;
import org.martenwell.balance.TargetLoad;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.error.ErrorKind;
import org.martenwell.exchange.CallerExchange;
import org.martenwell.exchange.OutboundRequest;
import org.martenwell.exchange.ResponseFailure;
import org.martenwell.exchange.ResponseFraming;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.route.GatewayConfiguration;
import org.martenwell.route.OrganisationConfiguration;
import org.martenwell.route.Route;
import org.martenwell.service.ResponseTimeout;
import org.martenwell.service.StepGuard;
import org.martenwell.share.Disposition;
import org.martenwell.share.RefusalReason;
import org.martenwell.share.ShareUse;
import org.martenwell.version.ServiceVersion;

/**
 * Dispatch of one request: it selects the route, waits for capacity, sends the request, retries it
 * and responds to the caller. The caller gets a status that promises that the request was not run
 * only if no target can have run it.
 */
final class RequestDispatch implements WaitingRequest {

    /** The time for which a target that reports to be full is suspended, in milliseconds. */
    private static final long FULL_SUSPENSION_MILLIS = 150;

    /** The time for which a target that is not the intended one is suspended, in milliseconds. */
    private static final long MISDIRECTED_SUSPENSION_MILLIS = 5_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private static final int FIRST_REDIRECTION_STATUS = 300;

    /** The statuses that promise that a request was not run. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    /** The status of a target that is not the intended one. */
    private static final int MISDIRECTED_STATUS = 421;

    private final GatewayCore core;

    private final CallerExchange exchange;

    private final RequestMetadata metadata;

    private final long arrivedMillis;

    /** The route or {@code null} until it is selected. */
    private Route route;

    /** The identity of the request, or {@code null} until the route is selected. */
    private RequestIdentity identity;

    /** The targets that may serve the request, or {@code null} until it is dispatched. */
    private TargetSelector selector;

    /** Set once the request may only be continued at the version that began its stream. */
    private boolean streamBegan;

    /** The search for the version of the stream that the request resumes, empty if it is new. */
    private Optional<StreamLookup> resumption = Optional.empty();

    /** Set once the first event of this request was counted. */
    private boolean eventCounted;

    /** The caller's organisation, empty where callers have no keys. */
    private Optional<String> organisation = Optional.empty();

    /** The routing to model engines, empty for a plain service. */
    private Optional<EngineRouting> engines = Optional.empty();

    /** The detector of silent targets, or {@code null} until the route is selected. */
    private StallDetector stallDetector;

    /** The time at which the request times out, in milliseconds. */
    private long deadlineMillis;

    private ScheduledRunnable deadlineTimer;

    private final SendHistory history = new SendHistory();

    /** Set if the request was accepted before, so that a shutdown doesn't refuse it. */
    private boolean accepted;

    private final ResponsePace pace = new ResponsePace();

    /** The forecast by which the request was refused, empty if that is not the cause. */
    private Optional<WaitRefusal> forecast = Optional.empty();

    /** The requests at the target of a plain service when this one was sent, including it. */
    private int loadWhenSent;

    /** The attempt in progress or {@code null}. */
    private SendAttempt attempt;

    private final ResponseRelay relay;

    private final LocalResponder localResponder;

    private final DispositionCount dispositionCount;

    /** Runs all timers and callbacks of the request, so that it ends if one of them throws. */
    private final StepGuard guard;

    private boolean over;

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
        this.arrivedMillis = exchange.request().arrivedMillis();
        this.guard = StepGuard.of("RequestDispatch", metadata::requestId, this::stepFailed);
        this.relay = new ResponseRelay(core, exchange, guard);
        this.localResponder = new LocalResponder(core, exchange, metadata);
        this.dispositionCount = new DispositionCount(core, metadata);
    }

    /** Starts the dispatch, or refuses the request at once. */
    void start() {
        guard.run(this::begin);
    }

    /**
     * Starts the dispatch of a request that was offloaded to another gateway before.
     *
     * @param attempts The number of targets that it may have been sent to, 0 if it has not run. A
     *     request that may have run is only sent if it may be retried.
     */
    void continueWith(int attempts) {
        accepted = true;
        history.recordOffloaded(attempts);
        start();
    }

    private void begin() {
        core.beginRequest();
        Optional<GatewayConfiguration> configuration = core.configuration();
        if (core.closing() && !accepted) {
            fail(ErrorKind.DRAINING, RetryDelay.ELSEWHERE);
            return;
        }
        if (configuration.isEmpty()) {
            fail(ErrorKind.NOT_READY, RetryDelay.CAPACITY);
            return;
        }
        Optional<Route> found = core.routes().find(metadata.host(), exchange.request().path());
        if (found.isEmpty()) {
            respond(ErrorKind.UNKNOWN_PATH, RetryDelay.NONE);
            return;
        }
        route = found.get();
        if (configuration.get().apiKeysRequired() && !route.anonymous()) {
            organisation =
                    metadata.key()
                            .map(configuration.get().keys()::get)
                            .map(OrganisationConfiguration::name);
            if (organisation.isEmpty()) {
                respond(ErrorKind.UNAUTHENTICATED, RetryDelay.NONE);
                return;
            }
        }
        dispositionCount.requested(organisation.orElse(""));
        Optional<RefusalReason> overload = overload();
        if (overload.isPresent()) {
            recordRefusedDemand(configuration.get());
            refuse(overload.get(), RetryDelay.ELSEWHERE);
            return;
        }
        accept(configuration.get());
    }

    /** Returns the limit of this gateway that the request exceeds, or empty. */
    private Optional<RefusalReason> overload() {
        if (history.mayHaveRun()) {
            // It was admitted before, and no refusal could promise that it was not run.
            return Optional.empty();
        }
        return core.overload()
                .refusal(
                        organisation.orElse(""),
                        metadata.generation().map(GenerationMetadata::cost).orElse(0.0),
                        core.now());
    }

    /**
     * Records the demand of a request that is refused before its engine is looked for. The fleet
     * would otherwise lend the share of its organisation to others.
     */
    private void recordRefusedDemand(GatewayConfiguration configuration) {
        if (metadata.generation().isPresent() && configuration.leadsToEngines(route)) {
            core.shares()
                    .requested(
                            organisation.orElse(""),
                            metadata.generation().get().cost(),
                            core.now());
        }
    }

    /** Accepts a request whose route and organisation are known, and tries to send it. */
    private void accept(GatewayConfiguration configuration) {
        long timeout =
                Math.min(route.timeoutMillis(), metadata.timeoutMillis().orElse(Long.MAX_VALUE));
        deadlineMillis = arrivedMillis + timeout;
        exchange.onDisconnect(guard.guarded(this::callerDisconnected));
        deadlineTimer =
                core.reactor()
                        .delayBackground(
                                Math.max(1, remainingMillis()),
                                guard.guarded(this::deadlinePassed));
        stallDetector = new StallDetector(core, guard, route, this::targetSilent);
        identity =
                new RequestIdentity(
                        core.fingerprints(),
                        exchange.request(),
                        route,
                        organisation.orElse(""),
                        metadata.generation());
        core.harmful().begin(this);
        if (history.mayHaveRun() && !mayRetryHere()) {
            fail(ErrorKind.TARGET_FAILED, RetryDelay.NONE);
            return;
        }
        if (metadata.lastEventId().isPresent() && route.resumable()) {
            core.streams()
                    .find(
                            metadata.resumedAttempt(),
                            route,
                            remainingMillis(),
                            guard.<StreamLookup>guarded(this::streamFound));
        } else {
            dispatch(configuration, TargetSelector.of(route.service(core.random())));
        }
    }

    /** Continues a stream at the version that began it, or refuses that if it can't be known. */
    private void streamFound(StreamLookup lookup) {
        if (over) {
            return;
        }
        resumption = Optional.of(lookup);
        Optional<GatewayConfiguration> configuration = core.configuration();
        if (lookup.stream().isEmpty() || configuration.isEmpty()) {
            refuseStream(lookup.refusal().orElse(StreamRefusal.ROUTE_CHANGED));
            return;
        }
        ServiceVersion version = lookup.stream().get().version();
        core.log().streams().found(requestId(), metadata.resumedAttempt(), lookup.stream().get());
        if (!route.leadsTo(version.service())) {
            refuseStream(StreamRefusal.ROUTE_CHANGED);
            return;
        }
        metadata.resumedAttempt()
                .ifPresent(attempt -> core.streams().continued(attempt, version, route));
        streamBegan = true;
        dispatch(configuration.get(), TargetSelector.of(version));
    }

    /** Refuses to continue a stream. */
    private void refuseStream(StreamRefusal refusal) {
        resumption.ifPresent(
                lookup ->
                        core.log()
                                .streams()
                                .refused(requestId(), metadata.resumedAttempt(), refusal, lookup));
        fail(refusal.kind(), refusal.retryDelay());
    }

    /** Begins to send the request to the targets that may serve it. */
    private void dispatch(GatewayConfiguration configuration, TargetSelector targets) {
        selector = targets;
        engines =
                EngineRouting.of(
                        core,
                        configuration.service(targets.service()),
                        metadata.generation(),
                        organisation.orElse(""),
                        route,
                        arrivedMillis,
                        deadlineMillis);
        engines.ifPresent(EngineRouting::recordDemand);
        trySend();
    }

    /**
     * Returns the use that the caller's organisation has made of its fair shares.
     *
     * @return The use, {@link ShareUse#NONE} for a plain service.
     */
    ShareUse shareUse() {
        return engines.map(EngineRouting::shareUse).orElse(ShareUse.NONE);
    }

    @Override
    public String organisationName() {
        return organisation.orElse("");
    }

    @Override
    public WaitRank rank() {
        return engines.map(EngineRouting::waitRank).orElse(EngineWait.rank(ShareUse.NONE));
    }

    /** Tries again to send a request that waits in the queue. */
    @Override
    public void tryAgain() {
        guard.run(this::trySend);
    }

    @Override
    public void refuse(WaitRefusal refusal) {
        guard.run(() -> refuseFull(refusal));
    }

    /** Refuses a request for which no engine has capacity in time. */
    private void refuseFull(WaitRefusal refusal) {
        forecast = Optional.of(refusal);
        dispositionCount.refused(organisation.orElse(""), RefusalReason.ENGINES_FULL);
        fail(RefusalReason.ENGINES_FULL.kind(), refusal.retrySeconds());
    }

    /**
     * Returns whether a response belongs to the request.
     *
     * @param response The response's head.
     * @return {@code true} if the response belongs to the request.
     */
    boolean belongs(HttpResponse response) {
        return core.dialect().belongs(response, metadata);
    }

    /** Sends the request if a target has capacity, else queues or refuses it. */
    private void trySend() {
        if (remainingMillis() <= 0) {
            // The timer for the deadline fires late if the event loop lags.
            timedOut();
            return;
        }
        Optional<ErrorKind> refusal = core.harmful().refusal(identity);
        if (refusal.isPresent()) {
            fail(refusal.get(), RetryDelay.SUSPECTED);
            return;
        }
        long now = core.now();
        List<TargetLoad> available =
                core.targets().available(selector, history.triedTargets(), now);
        if (available.isEmpty() && !history.triedTargets().isEmpty() && route.repeatable()) {
            available = core.targets().available(selector, Set.of(), now);
        }
        boolean all = selector.version().isEmpty() && history.triedTargets().isEmpty();
        if (route.resumable() && selector.version().isEmpty()) {
            int count = available.size();
            available = core.streams().withoutHeldVersions(available);
            all = all && available.size() == count;
        }
        if (available.isEmpty()) {
            refuseWithoutTarget(now);
        } else if (engines.isEmpty()) {
            sendToPlainService(available, now);
        } else {
            engines.get().seesAllEngines(all);
            sendToEngine(engines.get(), available);
        }
    }

    /** Refuses a request for which no target is available. */
    private void refuseWithoutTarget(long now) {
        if (selector.version().isPresent() && !core.targets().mayAcceptRequestsLater(selector)) {
            refuseStream(StreamRefusal.VERSION_GONE);
        } else {
            fail(ErrorKind.NO_TARGET, noTargetRetrySeconds(now));
        }
    }

    /**
     * Returns the delay before a retry if no target is available.
     *
     * @param now The current time, in milliseconds.
     * @return The time until the first paused target resumes, in seconds, or the default delay if
     *     that is longer or no target is paused.
     */
    private double noTargetRetrySeconds(long now) {
        OptionalLong pause = core.targets().minPauseMillis(selector, now);
        return pause.isPresent()
                ? Math.max(RetryDelay.CAPACITY.seconds(), pause.getAsLong() / MILLIS_PER_SECOND)
                : RetryDelay.CAPACITY.seconds();
    }

    /**
     * Sends the request to an engine, queues it, or refuses it.
     *
     * @param routing The routing of the request.
     * @param available The engines that accept requests.
     */
    private void sendToEngine(EngineRouting routing, List<TargetLoad> available) {
        EngineRouting.Decision decision = routing.decide(available, history.attempts(), route);
        core.queue().remove(this);
        if (decision.choice().isPresent()) {
            sendToChosenEngine(routing, decision.choice().get(), decision.use());
        } else if (decision.forecast().isPresent()) {
            refuseFull(decision.forecast().get());
        } else if (decision.refusal().isPresent()) {
            RefusalReason reason = decision.refusal().get();
            boolean share = reason.kind() == ErrorKind.RATE_EXCEEDED;
            refuse(reason, share ? RetryDelay.SHARE : RetryDelay.CAPACITY);
        } else {
            routing.waiting()
                    .ifPresentOrElse(
                            wait -> core.queue().add(this, wait), () -> core.queue().add(this));
        }
    }

    private void sendToChosenEngine(EngineRouting routing, EngineChoice choice, ShareUse use) {
        core.log()
                .attempts()
                .sentToEngine(
                        requestId(),
                        choice,
                        history.attempts() + 1,
                        routing.organisation(),
                        use,
                        sendTiming());
        RunningRequest running = routing.running(choice);
        routing.recordSent(choice);
        send(choice.load(), running, choice.copyFrom());
    }

    /**
     * Sends the request to a target of a plain service, or refuses it. A request that was attempted
     * before is not refused.
     *
     * @param available The targets that accept requests.
     * @param now The current time, in milliseconds.
     */
    private void sendToPlainService(List<TargetLoad> available, long now) {
        PlainRouting routing = core.plainRouting(selector.service());
        boolean firstAttempt = history.attempts() == 0;
        if (firstAttempt && !routing.admits(available, route.objectiveMillis(), now)) {
            fail(ErrorKind.WAIT_TOO_LONG, RetryDelay.CAPACITY);
            return;
        }
        routing.choose(available, now).ifPresent(load -> sendToChosenTarget(routing, load, now));
    }

    private void sendToChosenTarget(PlainRouting routing, TargetLoad load, long now) {
        core.log()
                .attempts()
                .sent(requestId(), load.target(), history.attempts() + 1, sendTiming());
        routing.recordSent(now);
        loadWhenSent = load.totalLoad(now).requests() + 1;
        send(load, new RunningRequest(0, 0, now, 0), Optional.empty());
    }

    private SendTiming sendTiming() {
        return new SendTiming(
                core.configurationVersion(), elapsedMillis(), remainingMillis(), resumedAttempt());
    }

    /**
     * Returns the attempt that brought the first event of the stream that the request resumes.
     *
     * @return The attempt's id, the request's own once it has forwarded an event; empty if the
     *     request resumes no stream or its caller doesn't name the attempt.
     */
    private Optional<String> resumedAttempt() {
        return metadata.resumedAttempt()
                .or(() -> relay.lastEventId().flatMap(last -> metadata.requestId()));
    }

    /**
     * Starts an attempt at a target.
     *
     * @param load The target.
     * @param running The load that the request puts on the target.
     * @param copyFrom The target to copy cached prompt parts from, or empty.
     */
    private void send(TargetLoad load, RunningRequest running, Optional<TargetLoad> copyFrom) {
        String id = load.target().id();
        Optional<KnownTarget> target = core.targets().find(id);
        if (target.isEmpty()) {
            fail(ErrorKind.NO_TARGET, RetryDelay.CAPACITY);
            return;
        }
        if (history.recordAttempt(id)) {
            core.countFirstAttempt();
        }
        exchange.requestSent(history.attempts());
        core.targets().recordSent(load, core.now());
        attempt = new SendAttempt(this, target.get(), running);
        relay.reset(attempt);
        stallDetector.watch(attempt);
        attempt.send(
                new OutboundRequest(
                        exchange.request().method(),
                        exchange.request().target(),
                        targetHeaders(id, copyFrom),
                        exchange.request().body()));
    }

    /**
     * Records a failure of a silent target, and retries the request elsewhere if that is allowed.
     */
    private void targetSilent(SendAttempt silentAttempt, Silence silence) {
        silentAttempt.target().load().health().failed(core.now());
        if (route.repeatable() && mayRetry()) {
            core.log().attempts().silent(requestId(), targetId(silentAttempt), silence);
            history.markPossiblyRun();
            cancelAttempt();
            trySend();
        }
    }

    private HttpHeaders targetHeaders(String id, Optional<TargetLoad> copyFrom) {
        return core.dialect()
                .forTarget(
                        exchange.request().headers(),
                        new ForwardMetadata(
                                id,
                                metadata.timeoutMillis()
                                        .map(stated -> Math.max(1, remainingMillis())),
                                organisation,
                                relay.lastEventId().or(metadata::lastEventId),
                                copyFrom.map(each -> each.target().address())));
    }

    /**
     * Handles the head of a response.
     *
     * @param from The attempt.
     * @param response The head.
     */
    void responseStarted(SendAttempt from, HttpResponse response) {
        if (core.dialect().notRun(response)) {
            from.ignoreResponse();
            attempt = null;
            refusedByTarget(from, response.status().code());
        } else if (!core.dialect().isFromTarget(response)
                && response.status().code() < FIRST_REDIRECTION_STATUS) {
            from.cancel();
            attemptFailed(from, ResponseFailure.MALFORMED);
        } else if (!relay.begin(response, route)) {
            from.cancel();
            abort();
        }
    }

    /**
     * Handles the arrival of the first chunk of a response body.
     *
     * @param from The attempt.
     */
    void bodyStarted(SendAttempt from) {
        pace.started(elapsedMillis());
        core.log().requests().firstChunk(elapsedMillis());
        if (relay.streaming()) {
            engines.ifPresent(
                    routing -> routing.recordResponseStart(from.running(), from.elapsedMillis()));
            dispositionCount.ended(organisation.orElse(""), Disposition.SERVED);
        }
    }

    /** Handles that a response has been in progress for a while. */
    void responseContinues() {
        core.harmful().promptServed(identity);
    }

    /**
     * Handles a chunk of a response body.
     *
     * @param chunk The bytes.
     * @return {@code false} if the response is too large.
     */
    boolean bodyReceived(byte[] chunk) {
        pace.received(elapsedMillis());
        boolean accepted = relay.receive(chunk, route.resumable());
        if (relay.eventForwarded() && !eventCounted) {
            eventCounted = true;
            core.log().streams().started(resumption.isPresent());
        }
        if (relay.eventForwarded() && !streamBegan && attempt != null) {
            streamBegan = true;
            DirectoryTarget target = attempt.target().load().target();
            selector = TargetSelector.of(new ServiceVersion(target.service(), target.version()));
            metadata.requestId().ifPresent(id -> core.streams().began(id, target, route));
        }
        return accepted;
    }

    /**
     * Handles the end of a response. One that is known to be truncated failed. If its framing
     * doesn't show that, a probe tells whether the target crashed.
     *
     * @param from The attempt.
     * @param framing The way in which the end of the response was determined.
     */
    void responseEnded(SendAttempt from, ResponseFraming framing) {
        attempt = null;
        if (relay.endedWithinEvent()) {
            attemptFailed(from, ResponseFailure.BROKEN_OFF);
        } else if (framing.showsTruncation()) {
            responseCompleted(from, framing, from.elapsedMillis());
        } else {
            long responseMillis = from.elapsedMillis();
            core.harmful()
                    .endedByClose(
                            from.run(),
                            identity,
                            guard.<Boolean>guarded(
                                    crashed -> targetProbed(from, crashed, responseMillis)));
        }
    }

    /** Handles the result of the probe behind a response that ended with its connection. */
    private void targetProbed(SendAttempt from, boolean crashed, long responseMillis) {
        if (over) {
            return;
        }
        if (crashed) {
            attemptFailed(from, ResponseFailure.BROKEN_OFF);
        } else if (relay.mayEnd()) {
            responseCompleted(from, ResponseFraming.CLOSE_DELIMITED, responseMillis);
        } else {
            history.markPossiblyRun();
            fail(ErrorKind.TARGET_FAILED, RetryDelay.NONE);
        }
    }

    /**
     * Forwards a response that isn't known to be truncated, or retries after a server error.
     *
     * @param from The attempt.
     * @param framing The way in which the end of the response was determined.
     * @param responseMillis The time that it took, without delays of the event loop, in
     *     milliseconds.
     */
    private void responseCompleted(SendAttempt from, ResponseFraming framing, long responseMillis) {
        int status = relay.status();
        boolean failure = status >= FIRST_SERVER_ERROR_STATUS;
        if (failure) {
            from.target().load().health().failed(core.now());
        } else {
            from.target().load().health().succeeded(core.now());
            recordPlainResponse(from, responseMillis);
        }
        if (failure && route.repeatable() && mayRetry()) {
            history.markPossiblyRun();
            trySend();
        } else if (NOT_RUN_STATUSES.contains(status)) {
            // The dialect did not recognise this as a refusal, so the request may have run.
            history.markPossiblyRun();
            fail(ErrorKind.TARGET_FAILED, RetryDelay.NONE);
        } else {
            if (framing.showsTruncation() && !failure) {
                core.harmful().served(identity);
                if (status < FIRST_REDIRECTION_STATUS) {
                    core.harmful().promptServed(identity);
                }
            }
            relay.end();
            core.log()
                    .requests()
                    .ended(
                            requestId(),
                            routeName(),
                            targetId(from),
                            status,
                            framing,
                            history.attempts(),
                            pace,
                            elapsedMillis());
            finish();
        }
    }

    /** Records the response time of a plain service. */
    private void recordPlainResponse(SendAttempt from, long responseMillis) {
        if (engines.isEmpty()) {
            core.plainRouting(selector.service())
                    .recordResponse(
                            responseMillis, loadWhenSent, from.target().load().target().slots());
        }
    }

    /** Suspends a target that refused the request without running it, and retries elsewhere. */
    private void refusedByTarget(SendAttempt from, int status) {
        boolean misdirected = status == MISDIRECTED_STATUS;
        core.log().attempts().notRun(requestId(), targetId(from), misdirected ? "other" : "full");
        engines.ifPresent(EngineRouting::rollBackSent);
        if (misdirected) {
            core.harmful().targetCrashed(from.target(), CrashSource.ANSWER);
        }
        from.target()
                .load()
                .health()
                .suspend(
                        core.now(),
                        misdirected ? MISDIRECTED_SUSPENSION_MILLIS : FULL_SUSPENSION_MILLIS);
        if (mayRetry()) {
            trySend();
        } else {
            fail(ErrorKind.TARGET_REFUSED, RetryDelay.CAPACITY);
        }
    }

    /**
     * Handles the failure of an attempt, and retries the request if that is allowed.
     *
     * @param from The attempt.
     * @param failure The failure.
     */
    void attemptFailed(SendAttempt from, ResponseFailure failure) {
        attempt = null;
        engines.ifPresent(EngineRouting::rollBackSent);
        if (!failure.sent()) {
            core.log().attempts().notRun(requestId(), targetId(from), failure.name());
            from.target().load().health().connectFailed(core.now());
            if (failure == ResponseFailure.REFUSED) {
                core.harmful().targetCrashed(from.target(), CrashSource.CONNECTION);
            }
            retryUnreachable();
            return;
        }
        core.log()
                .attempts()
                .failed(
                        requestId(),
                        from.target().load().target().incarnation(),
                        failure.name(),
                        identity.fingerprint());
        history.markPossiblyRun();
        boolean resumable = !exchange.headSent() || route.resumable();
        if (failure == ResponseFailure.DEFECT) {
            retryDefective(resumable);
            return;
        }
        from.target().load().health().failed(core.now());
        if (route.repeatable() && resumable) {
            core.harmful().attemptFailed(from.run(), identity, guard.guarded(this::retryFailed));
        } else {
            core.harmful().attemptFailed(from.run(), identity, () -> {});
            fail(ErrorKind.TARGET_FAILED, RetryDelay.NONE);
        }
    }

    /** Retries a request whose attempt failed through no fault of its target. */
    private void retryDefective(boolean resumable) {
        if (route.repeatable() && resumable) {
            retryFailed();
        } else {
            fail(ErrorKind.TARGET_FAILED, RetryDelay.NONE);
        }
    }

    /**
     * Handles a target that became unavailable while the connection opened. Nothing was sent, so
     * the request goes to another target.
     *
     * @param from The attempt.
     */
    void targetUnavailable(SendAttempt from) {
        attempt = null;
        engines.ifPresent(EngineRouting::rollBackSent);
        core.log().attempts().notRun(requestId(), targetId(from), "closed");
        history.withdrawAttempt();
        trySend();
    }

    /** Handles that the request was handed to the connection of its attempt. */
    void requestWritten() {
        history.recordWritten(elapsedMillis());
    }

    private void retryFailed() {
        if (over) {
            return;
        }
        if (mayRetry()) {
            trySend();
        } else {
            fail(ErrorKind.TARGET_FAILED, RetryDelay.NONE);
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
        if (identity.matches(fingerprint) && core.harmful().refusal(identity).isPresent()) {
            cancelAttempt();
            fail(ErrorKind.ENDS_TARGETS, RetryDelay.NONE);
        }
    }

    /**
     * Retries a request after its target could not be reached. This doesn't use the retry budget,
     * since nothing was sent.
     */
    private void retryUnreachable() {
        history.recordUnreachable();
        if (history.mayTryAnotherTarget() && remainingMillis() > 0) {
            trySend();
        } else {
            fail(ErrorKind.NO_TARGET, RetryDelay.CAPACITY);
        }
    }

    /** Returns whether the request may be retried, and if so takes the retry from the budget. */
    private boolean mayRetry() {
        return history.attempts() < route.maxAttempts()
                && remainingMillis() > 0
                && core.takeRetry();
    }

    /**
     * Returns whether a request may be retried whose attempts another gateway made that was lost,
     * and if so takes the retry from the budget.
     */
    private boolean mayRetryHere() {
        // The budget of the lost gateway, which counted the request, is lost with it. A gateway
        // that offloads nearly all requests could otherwise retry none.
        core.countFirstAttempt();
        return route.repeatable() && mayRetry();
    }

    /** Ends the request, behind the next read if a response to it may have arrived. */
    private void deadlinePassed() {
        if (attempt == null) {
            timedOut();
        } else {
            ResponseTimeout.afterNextRead(core.reactor(), guard.guarded(this::timedOut));
        }
    }

    private void timedOut() {
        if (over) {
            return;
        }
        cancelAttempt();
        boolean neverSent = history.attempts() == 0;
        fail(neverSent ? ErrorKind.WAIT_TOO_LONG : ErrorKind.TARGET_TIMEOUT, RetryDelay.NONE);
    }

    private void callerDisconnected() {
        if (over) {
            return;
        }
        logFailure(ErrorKind.CALLER_LEFT);
        cancelAttempt();
        finish();
    }

    /**
     * Cancels the attempt in progress, if there is one, so that the target stops its work. The
     * organisation is not charged if the target has not begun to respond.
     */
    private void cancelAttempt() {
        if (attempt != null) {
            engines.ifPresent(EngineRouting::rollBackSent);
            core.harmful().attemptCancelled(attempt.target(), identity);
            attempt.cancel();
            attempt = null;
        }
    }

    /**
     * Ends the request without a target's response. If a target may have run it, the caller never
     * gets a status that promises that it was not run. If a response has begun, the connection is
     * closed.
     *
     * @param kind The error to respond with if no target ran the request.
     * @param retrySeconds The delay after which the caller may retry, in seconds, or 0.
     */
    private void fail(ErrorKind kind, double retrySeconds) {
        if (exchange.headSent()) {
            logFailure(ErrorKind.STREAM_BROKEN);
            abort();
        } else if (history.mayHaveRun() && NOT_RUN_STATUSES.contains(kind.status())) {
            respond(ErrorKind.TARGET_FAILED, RetryDelay.NONE.seconds());
        } else {
            respond(kind, retrySeconds);
        }
    }

    /** Ends a request that is refused by a limit of this gateway or of the shares. */
    private void refuse(RefusalReason reason, RetryDelay delay) {
        dispositionCount.refused(organisation.orElse(""), reason);
        fail(reason.kind(), delay);
    }

    private void fail(ErrorKind kind, RetryDelay delay) {
        fail(kind, delay.seconds());
    }

    /** Ends the request by closing the caller's connection. */
    private void abort() {
        exchange.abort();
        finish();
    }

    /**
     * Ends the request with a response of the gateway itself.
     *
     * @param kind The error to respond with.
     * @param retrySeconds The delay after which the caller may retry, in seconds, or 0.
     */
    private void respond(ErrorKind kind, double retrySeconds) {
        logFailure(kind);
        if (resumption.isPresent()) {
            core.log().streams().resumptionFailed(kind);
        }
        if (forecast.isPresent()) {
            localResponder.respondWithForecast(kind, retrySeconds);
        } else {
            localResponder.respond(kind, retrySeconds);
        }
        finish();
    }

    private void respond(ErrorKind kind, RetryDelay delay) {
        respond(kind, delay.seconds());
    }

    private void logFailure(ErrorKind kind) {
        dispositionCount.ended(organisation.orElse(""), Disposition.of(kind));
        core.log()
                .requests()
                .failed(
                        requestId(),
                        kind,
                        routeName(),
                        organisation.orElse(""),
                        history,
                        elapsedMillis(),
                        forecast);
    }

    /** Releases the resources of the request. */
    private void finish() {
        if (!over) {
            over = true;
            core.endRequest();
            core.queue().remove(this);
            core.harmful().end(this);
            relay.release();
            if (deadlineTimer != null) {
                deadlineTimer.cancel();
            }
        }
    }

    /** Ends the request, of which a step has thrown an exception or error. */
    private void stepFailed(Throwable thrown) {
        SendAttempt failed = attempt;
        attempt = null;
        try {
            if (failed != null) {
                failed.cancel();
                engines.ifPresent(EngineRouting::rollBackSent);
            }
        } finally {
            endDefective();
        }
    }

    /** Responds to the request and releases its resources, also if no response can be made. */
    private void endDefective() {
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

    /** {@return the guard that runs the callbacks of the request's attempts} */
    StepGuard guard() {
        return guard;
    }

    /**
     * Checks whether a target still accepts requests.
     *
     * @param target The target.
     * @return {@code true} if it is neither draining, paused nor evacuated.
     */
    boolean acceptsRequests(KnownTarget target) {
        return core.targets().acceptsRequests(target.load(), core.now());
    }

    /**
     * Returns the time on the clock that leaves out delays of the event loop.
     *
     * @return The time in milliseconds.
     */
    long responsiveMillis() {
        return core.clock().millis();
    }

    /** Returns the time until the deadline, in milliseconds, negative after it. */
    private long remainingMillis() {
        return deadlineMillis - core.now();
    }

    /** Returns the time since the request arrived, in milliseconds. */
    private long elapsedMillis() {
        return core.now() - arrivedMillis;
    }

    private String routeName() {
        return route == null ? "" : route.name();
    }

    private String requestId() {
        return metadata.requestId().orElse("");
    }

    private static String targetId(SendAttempt of) {
        return of.target().load().target().id();
    }
}
