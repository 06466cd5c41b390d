package org.martenwell.gateway;

import io.netty.handler.codec.http.HttpHeaders;
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
import org.martenwell.error.ErrorKind;
import org.martenwell.exchange.OutboundRequest;
import org.martenwell.route.GatewayConfiguration;
import org.martenwell.share.RefusalReason;
import org.martenwell.share.ShareUse;
import org.martenwell.version.ServiceVersion;

/**
 * Sending of one accepted request: for each attempt it chooses a target that has capacity, or has
 * the request wait or refuses it.
 */
final class RequestSender implements WaitingRequest {

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * The longest time for which a stream that is resumed waits for a target of its version, in
     * milliseconds: longer than most suspensions and than a list of the directory takes.
     */
    private static final long MAX_TARGET_WAIT_MILLIS = 500;

    /** The interval at which it looks for one, in milliseconds. */
    private static final long TARGET_RETRY_MILLIS = 25;

    private final GatewayCore core;

    private final AcceptedRequest request;

    private final RequestCompletion completion;

    private final ResponseRelay relay;

    private final RequestStream stream;

    private final SendHistory history;

    private final AttemptHandler attemptHandler;

    /** The targets that may serve the request, or {@code null} until it is dispatched. */
    private TargetSelector selector;

    /** The routing to model engines, empty for a plain service. */
    private Optional<EngineRouting> engines = Optional.empty();

    /** The first time at which no target was available, empty before. */
    private OptionalLong firstWithoutTarget = OptionalLong.empty();

    /**
     * Creates the sender of a request.
     *
     * @param request The request.
     * @param stream The stream that the request begins or resumes.
     * @param relay Forwards the responses of targets.
     * @param completion Ends the request.
     */
    RequestSender(
            AcceptedRequest request,
            RequestStream stream,
            ResponseRelay relay,
            RequestCompletion completion) {
        this.core = request.core();
        this.request = request;
        this.completion = completion;
        this.relay = relay;
        this.stream = stream;
        this.history = request.history();
        this.attemptHandler = new AttemptHandler(request, this, stream, relay, completion);
    }

    /**
     * Begins to send the request to the targets that may serve it.
     *
     * @param configuration The active configuration.
     * @param targets The targets.
     */
    void start(GatewayConfiguration configuration, TargetSelector targets) {
        selector = targets;
        engines =
                EngineRouting.of(
                        core,
                        configuration.service(targets.service()),
                        request.metadata().generation(),
                        request.organisationName(),
                        request.route(),
                        request.exchange().request().arrivedMillis(),
                        request.deadlineMillis());
        if (relay.begunElsewhere()) {
            engines.ifPresent(EngineRouting::chargedElsewhere);
        }
        engines.ifPresent(EngineRouting::recordDemand);
        if (stream.hasPrecedence()) {
            targets.version()
                    .ifPresent(version -> engines.ifPresent(each -> each.takePrecedence(version)));
        }
        trySend();
    }

    /** {@return the handler of the request's attempts} */
    AttemptHandler attemptHandler() {
        return attemptHandler;
    }

    /**
     * Restricts further attempts to the targets that can continue the stream of the request.
     *
     * @param version The version that began the stream.
     */
    void restrictTo(ServiceVersion version) {
        selector = TargetSelector.of(version);
    }

    /**
     * Returns the use that the caller's organisation has made of its fair shares.
     *
     * @return The use, {@link ShareUse#NONE} for a plain service.
     */
    ShareUse shareUse() {
        return engines.map(EngineRouting::shareUse).orElse(ShareUse.NONE);
    }

    /** {@return {@code true} if the request takes precedence over new ones} */
    boolean hasPrecedence() {
        return stream.hasPrecedence();
    }

    @Override
    public String organisationName() {
        return request.organisationName();
    }

    @Override
    public WaitRank rank() {
        return engines.map(EngineRouting::waitRank).orElse(EngineWait.rank(ShareUse.NONE));
    }

    /** Tries again to send a request that waits in the queue. */
    @Override
    public void tryAgain() {
        request.guard().run(this::trySend);
    }

    @Override
    public void refuse(WaitRefusal refusal) {
        request.guard().run(() -> completion.refuse(refusal));
    }

    /** Sends the request if a target has capacity, else queues or refuses it. */
    void trySend() {
        if (request.remainingMillis() <= 0) {
            // The timer for the deadline fires late if the event loop lags.
            timedOut();
            return;
        }
        Optional<ErrorKind> refusal = core.harmful().refusal(request.identity());
        if (refusal.isPresent()) {
            completion.fail(refusal.get(), RetryDelay.SUSPECTED);
            return;
        }
        long now = core.now();
        List<TargetLoad> targets = availableTargets(now);
        List<TargetLoad> available = withoutHeldVersions(targets);
        if (available.isEmpty()) {
            awaitTargetOrRefuse(now);
        } else if (engines.isEmpty()) {
            sendToPlainService(available, now);
        } else {
            engines.get()
                    .seesAllEngines(
                            selector.version().isEmpty()
                                    && history.triedTargets().isEmpty()
                                    && available.size() == targets.size());
            sendToEngine(engines.get(), available);
        }
    }

    /**
     * Sends the request to another target while the attempt in progress is kept, if one is
     * available and the request may be retried. It is never refused here, since the attempt in
     * progress may still serve it.
     */
    void trySendBackup() {
        if (completion.over()
                || !attemptHandler.inProgress()
                || core.harmful().refusal(request.identity()).isPresent()) {
            return;
        }
        long now = core.now();
        List<TargetLoad> available = withoutHeldVersions(availableTargets(now));
        if (available.isEmpty() || !request.takeRetry()) {
            return;
        }
        if (engines.isEmpty()) {
            PlainRouting routing = core.plainRouting(selector.service());
            routing.choose(available, now)
                    .ifPresent(load -> sendToChosenTarget(routing, load, now));
        } else {
            EngineRouting routing = engines.get();
            EngineRouting.Decision decision =
                    routing.decide(available, history.attempts(), request.route());
            decision.choice()
                    .ifPresent(
                            choice -> {
                                routing.keepSent();
                                sendToChosenEngine(routing, choice, decision.use());
                            });
        }
    }

    /** Removes the targets of versions at which no stream may begin, if the request begins one. */
    private List<TargetLoad> withoutHeldVersions(List<TargetLoad> targets) {
        return request.route().resumable() && selector.version().isEmpty()
                ? core.streams().withoutHeldVersions(targets)
                : targets;
    }

    /**
     * Returns the targets that the request can be sent to now: those that were not tried, else all
     * but the one of an attempt in progress, else untried ones that fail but respond. A request
     * that may not be repeated is sent to the first alone.
     */
    private List<TargetLoad> availableTargets(long now) {
        List<TargetLoad> untried = core.targets().available(selector, history.triedTargets(), now);
        if (!untried.isEmpty() || !request.route().repeatable()) {
            return untried;
        }
        List<TargetLoad> available =
                core.targets()
                        .available(
                                selector,
                                attemptHandler.targetInProgress().map(Set::of).orElse(Set.of()),
                                now);
        return available.isEmpty()
                ? core.targets().lastResort(selector, history.triedTargets(), now)
                : available;
    }

    /** {@return {@code true} if another attempt can be sent to a target now} */
    boolean mayTryAgain() {
        return !availableTargets(core.now()).isEmpty();
    }

    /** Cancels the attempt in progress and ends the request, whose deadline has passed. */
    void timedOut() {
        if (completion.over()) {
            return;
        }
        attemptHandler.cancel();
        boolean neverSent = history.attempts() == 0;
        completion.fail(
                neverSent ? ErrorKind.WAIT_TOO_LONG : ErrorKind.TARGET_TIMEOUT, RetryDelay.NONE);
    }

    /**
     * Lets a stream that is resumed wait for a target of its version, which may be suspended
     * because it is full, or have a successor that is not listed yet. Refuses all other requests.
     */
    private void awaitTargetOrRefuse(long now) {
        boolean resumed = selector.version().isPresent() && history.attempts() == 0;
        long since = firstWithoutTarget.orElse(now);
        long limit = Math.min(MAX_TARGET_WAIT_MILLIS, request.remainingMillis() / 2);
        if (resumed && now - since < limit && core.targets().mayAcceptRequestsLater(selector)) {
            firstWithoutTarget = OptionalLong.of(since);
            core.queue().remove(this);
            core.streams().refreshTargets();
            core.reactor()
                    .delayBackground(
                            TARGET_RETRY_MILLIS, request.guard().guarded(this::tryUnlessOver));
        } else {
            refuseWithoutTarget(now);
        }
    }

    private void tryUnlessOver() {
        if (!completion.over()) {
            trySend();
        }
    }

    /** Refuses a request for which no target is available. */
    private void refuseWithoutTarget(long now) {
        if (selector.version().isPresent() && !core.targets().mayAcceptRequestsLater(selector)) {
            completion.refuse(StreamRefusal.VERSION_GONE);
        } else {
            completion.fail(ErrorKind.NO_TARGET, noTargetRetrySeconds(now));
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
        EngineRouting.Decision decision =
                routing.decide(available, history.attempts(), request.route());
        core.queue().remove(this);
        if (decision.choice().isPresent()) {
            sendToChosenEngine(routing, decision.choice().get(), decision.use());
        } else if (decision.forecast().isPresent()) {
            completion.refuse(decision.forecast().get());
        } else if (decision.refusal().isPresent()) {
            RefusalReason reason = decision.refusal().get();
            boolean share = reason.kind() == ErrorKind.RATE_EXCEEDED;
            completion.refuse(reason, share ? RetryDelay.SHARE : RetryDelay.CAPACITY);
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
                        request.requestId(),
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
     * before or continues an admitted stream is not refused.
     *
     * @param available The targets that accept requests.
     * @param now The current time, in milliseconds.
     */
    private void sendToPlainService(List<TargetLoad> available, long now) {
        PlainRouting routing = core.plainRouting(selector.service());
        boolean admitted = history.attempts() > 0 || stream.hasPrecedence();
        if (!admitted && !routing.admits(available, request.route().objectiveMillis(), now)) {
            completion.fail(ErrorKind.WAIT_TOO_LONG, RetryDelay.CAPACITY);
            return;
        }
        routing.choose(available, now).ifPresent(load -> sendToChosenTarget(routing, load, now));
    }

    private void sendToChosenTarget(PlainRouting routing, TargetLoad load, long now) {
        core.log()
                .attempts()
                .sent(request.requestId(), load.target(), history.attempts() + 1, sendTiming());
        routing.recordSent(now);
        send(load, new RunningRequest(0, 0, now, 0), Optional.empty());
    }

    private SendTiming sendTiming() {
        return new SendTiming(
                core.configurationVersion(),
                request.elapsedMillis(),
                request.remainingMillis(),
                resumedAttempt());
    }

    /**
     * Returns the attempt that brought the first event of the stream that the request resumes.
     *
     * @return The attempt's id, the request's own once it has forwarded an event; empty if the
     *     request resumes no stream or its caller doesn't name the attempt.
     */
    private Optional<String> resumedAttempt() {
        return request.metadata()
                .resumedAttempt()
                .or(() -> relay.lastEventId().flatMap(last -> request.metadata().requestId()));
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
            completion.fail(ErrorKind.NO_TARGET, RetryDelay.CAPACITY);
            return;
        }
        if (history.recordAttempt(id)) {
            core.countFirstAttempt();
        }
        stream.sent(request.route());
        request.exchange().requestSent(history.attempts());
        core.targets().recordSent(load, core.now());
        SendAttempt attempt = new SendAttempt(request, attemptHandler, target.get(), running);
        attemptHandler.begin(attempt);
        attempt.send(
                new OutboundRequest(
                        request.exchange().request().method(),
                        request.exchange().request().target(),
                        targetHeaders(id, copyFrom),
                        request.exchange().request().body()));
    }

    private HttpHeaders targetHeaders(String id, Optional<TargetLoad> copyFrom) {
        RequestMetadata metadata = request.metadata();
        return core.dialect()
                .forTarget(
                        request.exchange().request().headers(),
                        new ForwardMetadata(
                                id,
                                metadata.timeoutMillis()
                                        .map(stated -> Math.max(1, request.remainingMillis())),
                                request.organisation(),
                                relay.lastEventId().or(metadata::lastEventId),
                                copyFrom.map(each -> each.target().address())));
    }

    /** Resumes what was recorded of the attempt that was kept, and rolls back the later one. */
    void resumeKept() {
        engines.ifPresent(EngineRouting::resumeKept);
    }

    /** Rolls back what was recorded of the attempt that was kept, in favour of the later one. */
    void dropKept() {
        engines.ifPresent(EngineRouting::dropKept);
    }

    /** Rolls back what was recorded of an attempt at an engine that has not begun to respond. */
    void rollBackSent() {
        engines.ifPresent(EngineRouting::rollBackSent);
    }

    /**
     * Records that an engine has begun to respond.
     *
     * @param from The attempt.
     */
    void recordResponseStart(SendAttempt from) {
        engines.ifPresent(
                routing -> routing.recordResponseStart(from.running(), from.elapsedMillis()));
    }

    /** Records that events of the response of an engine arrived. */
    void recordEvents() {
        engines.ifPresent(EngineRouting::recordEvents);
    }

    /**
     * Records the response time of a plain service. Has no effect for an engine.
     *
     * @param from The attempt.
     * @param responseMillis The time that the response took, without delays of the event loop, in
     *     milliseconds.
     */
    void recordPlainResponse(SendAttempt from, long responseMillis) {
        if (engines.isEmpty()) {
            core.plainRouting(selector.service())
                    .recordResponse(
                            responseMillis,
                            from.loadWhenSent(),
                            from.target().load().target().slots());
        }
    }
}
