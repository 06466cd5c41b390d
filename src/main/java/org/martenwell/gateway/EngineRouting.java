package org.martenwell.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.martenwell.admission.WaitRank;
import org.martenwell.admission.WaitRefusal;
import org.martenwell.balance.EngineChoice;
import org.martenwell.balance.EngineChooser;
import org.martenwell.balance.EngineDemand;
import org.martenwell.balance.EventIntervals;
import org.martenwell.balance.LoadForecast;
import org.martenwell.balance.PlacementRule;
import org.martenwell.balance.PrefillRate;
import org.martenwell.balance.PromptCacheLookup;
import org.martenwell.balance.RunningRequest;
import org.martenwell.balance.TargetLoad;
import org.martenwell.prompt.PromptChain;
import org.martenwell.route.EngineCapacity;
import org.martenwell.route.Route;
import org.martenwell.route.ServiceConfiguration;
import org.martenwell.settings.GatewayFeature;
import org.martenwell.share.RefusalReason;
import org.martenwell.share.ShareTier;
import org.martenwell.share.ShareUse;

/** Routing of one model request: the choice of an engine, and the decision to wait or to refuse. */
final class EngineRouting {

    /** The fraction of the route's latency objective for which a request may wait for capacity. */
    private static final double MAX_WAIT_FRACTION = 0.2;

    /**
     * The same fraction for a request that continues an admitted stream, the one up to which
     * requests wait by forecast. Only the engines of one version can serve it.
     */
    private static final double MAX_CONTINUED_WAIT_FRACTION = 0.85;

    /**
     * The mean lag of the event loop above which the time to the first event is no sample of an
     * engine's speed, in milliseconds. It is small against the shortest prefill that is one.
     */
    private static final double MAX_SAMPLE_LAG_MILLIS = 5;

    private final GatewayCore core;

    private final EngineDemand demand;

    private final EngineCapacity capacity;

    private final String service;

    /** The waiting by forecast, empty if the feature is off. */
    private final Optional<EngineWait> wait;

    /** Set if all engines of the service are available to the request. */
    private boolean seesAllEngines = true;

    /** The version at which the request continues an admitted stream, empty for a new request. */
    private Optional<String> continued = Optional.empty();

    /** The share tier of the request at the last decision. */
    private ShareTier tier = ShareTier.PROMISED;

    /** The cache entries assumed by the current attempt, until its response begins. */
    private Optional<AssumedCacheEntries> assumedEntries = Optional.empty();

    /** Set once the request was sent to an engine. */
    private boolean sent;

    /** The attempt whose response is a sample of its engine's speed, empty if it is none. */
    private Optional<SampledAttempt> sampledAttempt = Optional.empty();

    /** The forecast of the last decision, empty before the first. */
    private Optional<LoadForecast> forecast = Optional.empty();

    /** The forecast time to the first event of the attempt, in milliseconds, 0 without one. */
    private double firstEventForecastMillis;

    /** The engine of the attempt, by whose events its speed is estimated; empty before it. */
    private Optional<MeasuredResponse> measuredResponse = Optional.empty();

    /** What was recorded of an attempt that is kept beside a later one, empty without one. */
    private Optional<SentRecord> kept = Optional.empty();

    /** Set if another gateway has charged the request to its organisation. */
    private boolean chargedElsewhere;

    /** The charge for the request to its organisation's share, empty if there is none. */
    private Optional<ShareCharge> charge = Optional.empty();

    /**
     * What was recorded when an attempt was sent.
     *
     * @param assumedEntries The cache entries, empty once the response has begun.
     * @param sampledAttempt The sample of the engine's speed, empty if it is none.
     * @param firstEventForecastMillis The forecast time to the first event, in milliseconds, 0
     *     without one.
     * @param measuredResponse The response by whose events the engine's speed is estimated.
     */
    private record SentRecord(
            Optional<AssumedCacheEntries> assumedEntries,
            Optional<SampledAttempt> sampledAttempt,
            double firstEventForecastMillis,
            Optional<MeasuredResponse> measuredResponse) {}

    /**
     * Charge for a request to the share of its organisation.
     *
     * @param tier The share tier of the request when it was sent.
     * @param sentMillis The time at which it was sent, in milliseconds.
     */
    private record ShareCharge(ShareTier tier, long sentMillis) {}

    /**
     * An attempt whose response is a sample of its engine's speed.
     *
     * @param load The engine.
     * @param omittedMillis The total time for which the event loop had been late when the request
     *     was sent, in milliseconds.
     */
    private record SampledAttempt(TargetLoad load, long omittedMillis) {}

    /**
     * A response whose events are samples of its engine's speed.
     *
     * @param load The engine.
     * @param intervals The intervals between the events.
     */
    private record MeasuredResponse(TargetLoad load, EventIntervals intervals) {}

    /**
     * Outcome of a routing decision. Without a choice and a refusal, the request waits.
     *
     * @param choice The engine to send the request to, or empty.
     * @param refusal The reason for which the request is refused, or empty.
     * @param use The use that the organisation has made of its fair shares.
     * @param forecast The forecast by which the request is refused, empty if that is not the cause.
     */
    record Decision(
            Optional<EngineChoice> choice,
            Optional<RefusalReason> refusal,
            ShareUse use,
            Optional<WaitRefusal> forecast) {

        /**
         * Creates a decision without a forecast.
         *
         * @param choice The engine to send the request to, or empty.
         * @param refusal The reason for which the request is refused, or empty.
         * @param use The use that the organisation has made of its fair shares.
         */
        Decision(Optional<EngineChoice> choice, Optional<RefusalReason> refusal, ShareUse use) {
            this(choice, refusal, use, Optional.empty());
        }
    }

    /**
     * Creates the routing of a request that does not wait by forecast.
     *
     * @param core The state that all requests share.
     * @param demand The resources that the request needs.
     * @param capacity The capacity of each engine.
     * @param service The name of the engines' service.
     */
    EngineRouting(GatewayCore core, EngineDemand demand, EngineCapacity capacity, String service) {
        this(core, demand, capacity, service, Optional.empty());
    }

    /**
     * Creates the routing of a request.
     *
     * @param core The state that all requests share.
     * @param demand The resources that the request needs.
     * @param capacity The capacity of each engine.
     * @param service The name of the engines' service.
     * @param wait The waiting by forecast, empty if the request waits for a fixed time.
     */
    EngineRouting(
            GatewayCore core,
            EngineDemand demand,
            EngineCapacity capacity,
            String service,
            Optional<EngineWait> wait) {
        this.core = core;
        this.demand = demand;
        this.capacity = capacity;
        this.service = service;
        this.wait = wait;
    }

    /**
     * Creates the routing of a request.
     *
     * @param core The state that all requests share.
     * @param service The configuration of its service, empty if there is none.
     * @param generation The properties of a model request, empty for others.
     * @param organisation The caller's organisation or an empty string.
     * @param route The request's route.
     * @param arrivedMillis The time at which it arrived, in milliseconds.
     * @param deadlineMillis The time at which it times out, in milliseconds.
     * @return The routing, or empty if the service is plain or the caller stated no prompt.
     */
    static Optional<EngineRouting> of(
            GatewayCore core,
            Optional<ServiceConfiguration> service,
            Optional<GenerationMetadata> generation,
            String organisation,
            Route route,
            long arrivedMillis,
            long deadlineMillis) {
        Optional<EngineCapacity> capacity = service.flatMap(ServiceConfiguration::engine);
        if (capacity.isEmpty() || generation.isEmpty()) {
            return Optional.empty();
        }
        GenerationMetadata prompt = generation.get();
        EngineDemand demand =
                new EngineDemand(
                        organisation,
                        PromptChain.of(prompt.model(), prompt.parts()),
                        prompt.promptTokens(),
                        prompt.responseTokens(),
                        route.objectiveMillis(),
                        arrivedMillis);
        String name = service.get().name();
        Optional<EngineWait> wait =
                core.enables(GatewayFeature.WAIT_FORECAST)
                        ? Optional.of(
                                EngineWait.of(
                                        core.queue().forecastQueue(name),
                                        demand,
                                        core.targets().rate(name),
                                        deadlineMillis))
                        : Optional.empty();
        return Optional.of(new EngineRouting(core, demand, capacity.get(), name, wait));
    }

    /** Records that another gateway has charged the request to its organisation. */
    void chargedElsewhere() {
        chargedElsewhere = true;
    }

    /** Records the organisation's demand and the prompt parts that the request may share. */
    void recordDemand() {
        for (int index = 0; index < demand.chain().length(); index++) {
            core.sharedKeys().add(demand.chain().key(index));
        }
        if (!chargedElsewhere) {
            core.shares().requested(demand.organisation(), demand.cost(), core.now());
        }
    }

    /**
     * Returns the use that the organisation has made of its fair shares.
     *
     * @return The use, with the cost of this request taken into account.
     */
    ShareUse shareUse() {
        return core.shares()
                .use(demand.organisation(), demand.cost(), core.windowTokens(), core.now());
    }

    /**
     * Returns the rank of the request in the queue.
     *
     * @return The rank by the present use of its organisation's shares.
     */
    WaitRank waitRank() {
        return waitRank(shareUse());
    }

    private WaitRank waitRank(ShareUse use) {
        return continued.map(EngineWait::rankOfContinued).orElseGet(() -> EngineWait.rank(use));
    }

    /**
     * Gives the request precedence over new ones, since it continues a stream that the fleet has
     * admitted. It is served as if it were within the promised share of its organisation, and
     * charged to that.
     *
     * @param version The version that began the stream.
     */
    void takePrecedence(String version) {
        continued = Optional.of(version);
    }

    /** {@return the waiting by forecast, empty if the request waits for a fixed time} */
    Optional<EngineWait> waiting() {
        return wait;
    }

    /**
     * Sets whether the next decision is given all engines of the service.
     *
     * @param all {@code false} if the request may not use some, such as those that it tried.
     */
    void seesAllEngines(boolean all) {
        seesAllEngines = all;
    }

    /**
     * Decides whether the request is sent, waits or is refused. A request that was attempted before
     * neither waits nor is refused: it goes to the least loaded engine if none has capacity.
     *
     * @param available The engines that accept requests, at least one.
     * @param attempts The number of earlier attempts.
     * @param route The request's route.
     * @return The decision.
     */
    Decision decide(List<TargetLoad> available, int attempts, Route route) {
        core.targetSpeeds().ifPresent(TargetSpeeds::update);
        long now = core.now();
        ShareUse use = shareUse();
        tier = continued.isPresent() ? ShareTier.PROMISED : use.tier();
        if (use.aheadOfOthers() && attempts == 0 && continued.isEmpty()) {
            return new Decision(Optional.empty(), Optional.of(RefusalReason.LEAD), use);
        }
        List<TargetLoad> allowed = allowed(available);
        boolean skips =
                attempts == 0
                        && wait.map(each -> each.skipsSearch(waitRank(use), now)).orElse(false);
        Optional<EngineChoice> choice =
                skips
                        ? Optional.empty()
                        : choose(available, allowed, now).or(() -> chooseIdle(available, now));
        if (choice.isPresent()) {
            return new Decision(choice, Optional.empty(), use);
        }
        if (attempts > 0) {
            return new Decision(chooseLeastLoaded(available, now), Optional.empty(), use);
        }
        if (tier == ShareTier.BEYOND) {
            return new Decision(choice, Optional.of(RefusalReason.SHARE), use);
        }
        if (allowed.isEmpty()) {
            return new Decision(choice, Optional.of(RefusalReason.RESERVE), use);
        }
        if (wait.isPresent()) {
            return decideByForecast(wait.get(), skips, use, now);
        }
        if (now - demand.arrivedMillis() >= maxWaitFraction() * route.objectiveMillis()) {
            return new Decision(choice, Optional.of(RefusalReason.ENGINES_FULL), use);
        }
        return new Decision(choice, Optional.empty(), use);
    }

    private double maxWaitFraction() {
        return continued.isPresent() ? MAX_CONTINUED_WAIT_FRACTION : MAX_WAIT_FRACTION;
    }

    /** Decides whether a request that found no engine with capacity waits. */
    private Decision decideByForecast(EngineWait waiting, boolean skipped, ShareUse use, long now) {
        if (!skipped) {
            waiting.searchFailed(seesAllEngines || continued.isPresent(), now);
        }
        Optional<WaitRefusal> forecast = waiting.decide(now);
        return new Decision(
                Optional.empty(),
                forecast.map(refusal -> RefusalReason.ENGINES_FULL),
                use,
                forecast);
    }

    /**
     * Returns the engines that the request may use.
     *
     * @param available The engines that accept requests.
     * @return All engines for a request within its promised share, else the unreserved ones.
     */
    private List<TargetLoad> allowed(List<TargetLoad> available) {
        return tier == ShareTier.PROMISED
                ? available
                : core.reserve().unreserved(available, core.tokensWithinShares());
    }

    /**
     * Chooses an idle engine, even a reserved one, for a request within its observed share. Each
     * gateway sizes the reserve by its own prompts, so one with long prompts may reserve all
     * engines and would otherwise refuse such a request although engines are idle.
     *
     * @param available The engines that accept requests.
     * @param now The current time, in milliseconds.
     * @return The choice, or empty if no engine is idle or the request exceeds that share too.
     */
    private Optional<EngineChoice> chooseIdle(List<TargetLoad> available, long now) {
        if (tier != ShareTier.OBSERVED) {
            return Optional.empty();
        }
        return choose(
                available,
                available.stream().filter(each -> each.totalLoad(now).requests() == 0).toList(),
                now);
    }

    /**
     * Chooses an engine with capacity.
     *
     * @param available The engines that accept requests.
     * @param allowed The engines that the request may use.
     * @param now The current time, in milliseconds.
     * @return The choice, or empty if no engine has capacity.
     */
    private Optional<EngineChoice> choose(
            List<TargetLoad> available, List<TargetLoad> allowed, long now) {
        PrefillRate rate = core.targets().rate(service);
        EngineChooser chooser = core.engineChooser();
        LoadForecast current = core.loadForecasts().of(service, available, rate, now);
        forecast = Optional.of(current);
        List<TargetLoad> candidates =
                chooser.withCapacity(demand, tier, allowed, capacity, current, now);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        PromptCacheLookup cacheLookup =
                PromptCacheLookup.of(demand.chain(), allowed, copySources(available, allowed));
        PlacementRule rule = core.placements().rule(service);
        rule.update(available, now);
        return chooser.choose(demand, tier, candidates, cacheLookup, capacity, current, rule, now);
    }

    /**
     * Returns the engines that can't serve the request but may supply cached parts of its prompt.
     *
     * @param available The engines that accept requests.
     * @param allowed The engines that the request may use.
     * @return The engines that the request may not use and those that are draining.
     */
    private List<TargetLoad> copySources(List<TargetLoad> available, List<TargetLoad> allowed) {
        List<TargetLoad> sources = new ArrayList<>(core.targets().draining(service));
        if (allowed.size() < available.size()) {
            available.stream().filter(each -> !allowed.contains(each)).forEach(sources::add);
        }
        return sources;
    }

    /**
     * Records that the request is sent to an engine: charges the share, once for all attempts, and
     * updates the estimates of load and of the engine's cache.
     *
     * @param choice The chosen engine.
     */
    void recordSent(EngineChoice choice) {
        wait.ifPresent(each -> each.recordSent(core.now()));
        boolean first = charge.isEmpty() && !chargedElsewhere;
        if (first) {
            core.shares().sent(demand.organisation(), demand.cost(), tier, core.now());
            charge = Optional.of(new ShareCharge(tier, core.now()));
        }
        double prefillMillis =
                choice.load().prefillMillis(choice.prefillTokens(), core.targets().rate(service));
        core.unreportedWork()
                .sent(EngineChooser.workMillis(prefillMillis, capacity.slots()), core.now());
        core.placements().sent(service, prefillMillis, choice.interferenceMillis(), core.now());
        if (first && tier == ShareTier.PROMISED) {
            core.reserve().sent(prefillMillis, demand.cost());
        }
        assumedEntries = Optional.of(AssumedCacheEntries.add(core, choice.load(), demand.chain()));
        // A copy between engines, or an earlier attempt, changes what the engine has to compute.
        sampledAttempt =
                sent || choice.copyFrom().isPresent()
                        ? Optional.empty()
                        : Optional.of(
                                new SampledAttempt(choice.load(), core.clock().omittedMillis()));
        sent = true;
        firstEventForecastMillis =
                forecast.filter(each -> choice.backlogMillis() < Double.MAX_VALUE)
                        .map(each -> each.uncorrectedMillis(choice.backlogMillis(), prefillMillis))
                        .orElse(0.0);
        measuredResponse =
                core.targetSpeeds()
                        .map(each -> new MeasuredResponse(choice.load(), new EventIntervals()));
    }

    /**
     * Rolls back the cache entries and the charge of an attempt that ended before its response
     * began, so that an organisation is not charged for requests that no engine served. Has no
     * effect once the response has begun.
     */
    void rollBackSent() {
        if (assumedEntries.isEmpty()) {
            return;
        }
        assumedEntries.get().rollBack();
        assumedEntries = Optional.empty();
        charge.ifPresent(this::refund);
        charge = Optional.empty();
    }

    /** Keeps what was recorded of the attempt in progress while a later one is sent beside it. */
    void keepSent() {
        kept =
                Optional.of(
                        new SentRecord(
                                assumedEntries,
                                sampledAttempt,
                                firstEventForecastMillis,
                                measuredResponse));
        assumedEntries = Optional.empty();
    }

    /**
     * Rolls back the cache entries of the later attempt and resumes what was kept of the attempt in
     * progress. Has no effect if nothing was kept.
     */
    void resumeKept() {
        if (kept.isEmpty()) {
            return;
        }
        assumedEntries.ifPresent(AssumedCacheEntries::rollBack);
        assumedEntries = kept.get().assumedEntries();
        sampledAttempt = kept.get().sampledAttempt();
        firstEventForecastMillis = kept.get().firstEventForecastMillis();
        measuredResponse = kept.get().measuredResponse();
        kept = Optional.empty();
    }

    /** Rolls back the cache entries of the attempt that was kept, which the later one replaces. */
    void dropKept() {
        kept.flatMap(SentRecord::assumedEntries).ifPresent(AssumedCacheEntries::rollBack);
        kept = Optional.empty();
    }

    private void refund(ShareCharge refunded) {
        core.shares()
                .revertSent(
                        demand.organisation(),
                        demand.cost(),
                        refunded.tier(),
                        refunded.sentMillis(),
                        core.now());
    }

    /**
     * Records that the first event of the response arrived. This confirms the assumed cache entries
     * and is a sample of the prefill rate, and of the engine's speed if the attempt is the first.
     *
     * @param running The request as it runs at its engine.
     * @param elapsedMillis The time since it was sent, without delays of the event loop, in
     *     milliseconds.
     */
    void recordResponseStart(RunningRequest running, long elapsedMillis) {
        assumedEntries = Optional.empty();
        PrefillRate rate = core.targets().rate(service);
        core.targetSpeeds()
                .ifPresent(speeds -> observeSpeed(speeds, rate.speed(running, elapsedMillis)));
        rate.observe(running, elapsedMillis);
        if (!loopIsLate()) {
            core.loadForecasts()
                    .observe(service, firstEventForecastMillis, elapsedMillis - rate.baseMillis());
        }
    }

    /**
     * Records that events of the response arrived. The intervals between them are samples of the
     * engine's speed.
     */
    void recordEvents() {
        measuredResponse.ifPresent(
                each ->
                        each.intervals()
                                .received(core.now())
                                .ifPresent(millis -> observeInterval(each.load(), millis)));
    }

    private void observeInterval(TargetLoad load, double intervalMillis) {
        if (!loopIsLate()) {
            core.targetSpeeds().ifPresent(speeds -> speeds.observeInterval(load, intervalMillis));
        }
    }

    private boolean loopIsLate() {
        return core.loopLag().meanMillis() > MAX_SAMPLE_LAG_MILLIS;
    }

    /** Records a sample of the engine's speed, unless the event loop was late. */
    private void observeSpeed(TargetSpeeds speeds, OptionalDouble ratio) {
        if (ratio.isPresent() && !loopIsLate()) {
            sampledAttempt
                    .filter(each -> each.omittedMillis() == core.clock().omittedMillis())
                    .ifPresent(each -> speeds.observe(each.load(), ratio.getAsDouble()));
        }
        sampledAttempt = Optional.empty();
    }

    /**
     * Returns the load that the request puts on an engine.
     *
     * @param choice The chosen engine.
     * @return The request as it runs at the engine, sent now.
     */
    RunningRequest running(EngineChoice choice) {
        return new RunningRequest(
                choice.prefillTokens(),
                demand.ownTokens() + demand.responseTokens(),
                core.now(),
                choice.backlogMillis());
    }

    /**
     * Returns the organisation that the request is charged to.
     *
     * @return The organisation's name, empty if callers have no keys.
     */
    String organisation() {
        return demand.organisation();
    }

    /**
     * Chooses an engine for a retry, whether it has capacity or not. The failure of many engines at
     * once makes all gateways retry; noise on the scale of what peers sent since their reports
     * keeps them from choosing the same engine, which would reject most of the retries.
     *
     * @param available The engines that accept requests.
     * @param now The current time, in milliseconds.
     * @return The choice, or empty if there are no engines.
     */
    private Optional<EngineChoice> chooseLeastLoaded(List<TargetLoad> available, long now) {
        PrefillRate rate = core.targets().rate(service);
        double requestMillis =
                EngineChooser.workMillis(rate.millis(demand.ownTokens()), capacity.slots());
        double unreportedRequests =
                core.unreportedWork().perTarget(available.size(), now) / requestMillis;
        return core.serviceChooser()
                .choose(available, unreportedRequests, now)
                .map(load -> choiceWithoutCapacity(load, available));
    }

    /**
     * Builds the choice of an engine that has no capacity.
     *
     * @param load The engine.
     * @param available The engines that accept requests.
     * @return The choice, with an unlimited backlog.
     */
    private EngineChoice choiceWithoutCapacity(TargetLoad load, List<TargetLoad> available) {
        PromptCacheLookup cacheLookup =
                PromptCacheLookup.of(demand.chain(), available, core.targets().draining(service));
        Optional<TargetLoad> source =
                capacity.canCopyCache() ? cacheLookup.copySource(load) : Optional.empty();
        long cachedTokens = cacheLookup.cachedTokens(source.orElse(load));
        return new EngineChoice(
                load, demand.promptTokens() - cachedTokens, Double.MAX_VALUE, source, 0);
    }
}
