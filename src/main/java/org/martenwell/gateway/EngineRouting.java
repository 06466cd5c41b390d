package org.martenwell.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.martenwell.balance.EngineChoice;
import org.martenwell.balance.EngineChooser;
import org.martenwell.balance.EngineDemand;
import org.martenwell.balance.PrefillRate;
import org.martenwell.balance.PromptCacheLookup;
import org.martenwell.balance.RunningRequest;
import org.martenwell.balance.TargetLoad;
import org.martenwell.error.ErrorKind;
import org.martenwell.route.EngineCapacity;
import org.martenwell.route.Route;
import org.martenwell.share.ShareTier;
import org.martenwell.share.ShareUse;

/** Routing of one model request: the choice of an engine, and the decision to wait or to refuse. */
final class EngineRouting {

    /** The part of the route's latency objective for which a request may wait for capacity. */
    private static final double MAX_WAIT_PART = 0.2;

    private final GatewayCore core;

    private final EngineDemand demand;

    private final EngineCapacity engine;

    private final String service;

    /** The share tier of the request at the last decision. */
    private ShareTier tier = ShareTier.PROMISED;

    /** The cache entries assumed by the present attempt, until its response begins. */
    private Optional<AssumedCacheEntries> assumedEntries = Optional.empty();

    /** The charge for the request to its organisation's share, empty if there is none. */
    private Optional<ShareCharge> charge = Optional.empty();

    /**
     * Charge for a request to the share of its organisation.
     *
     * @param tier The share tier of the request when it was sent.
     * @param sentMillis The time at which it was sent, in milliseconds.
     */
    private record ShareCharge(ShareTier tier, long sentMillis) {}

    /**
     * Outcome of a routing decision. Without a choice and a refusal, the request waits.
     *
     * @param choice The engine to send the request to, or empty.
     * @param refusal The error with which the request is refused, or empty.
     * @param use The use that the organisation has made of its fair shares.
     */
    record Decision(Optional<EngineChoice> choice, Optional<ErrorKind> refusal, ShareUse use) {}

    /**
     * Creates the routing of a request.
     *
     * @param core The state that all requests share.
     * @param demand The resources that the request needs.
     * @param engine The capacity of the engines.
     * @param service The name of the engines' service.
     */
    EngineRouting(GatewayCore core, EngineDemand demand, EngineCapacity engine, String service) {
        this.core = core;
        this.demand = demand;
        this.engine = engine;
        this.service = service;
    }

    /** Records the organisation's demand and the prompt parts that the request may share. */
    void recordDemand() {
        for (int index = 0; index < demand.chain().length(); index++) {
            core.sharedKeys().seen(demand.chain().key(index));
        }
        core.shares().requested(demand.organisation(), demand.cost(), core.now());
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
     * Decides whether the request is sent, waits or is refused. A request that was attempted before
     * neither waits nor is refused: it goes to the least loaded engine if none has capacity.
     *
     * @param open The engines that accept requests, at least one.
     * @param attempts The number of earlier attempts.
     * @param route The request's route.
     * @return The decision.
     */
    Decision decide(List<TargetLoad> open, int attempts, Route route) {
        long now = core.now();
        ShareUse use = shareUse();
        tier = use.tier();
        List<TargetLoad> allowed = allowed(open);
        Optional<EngineChoice> choice = choose(open, allowed, now).or(() -> chooseIdle(open, now));
        if (choice.isPresent()) {
            return new Decision(choice, Optional.empty(), use);
        }
        if (attempts > 0) {
            return new Decision(chooseLeastLoaded(open, now), Optional.empty(), use);
        }
        if (tier == ShareTier.BEYOND || allowed.isEmpty()) {
            return new Decision(choice, Optional.of(ErrorKind.RATE_EXCEEDED), use);
        }
        if (now - demand.arrivedMillis() >= MAX_WAIT_PART * route.objectiveMillis()) {
            return new Decision(choice, Optional.of(ErrorKind.WAIT_TOO_LONG), use);
        }
        return new Decision(choice, Optional.empty(), use);
    }

    /**
     * Returns the engines that the request may use.
     *
     * @param open The engines that accept requests.
     * @return All engines for a request within its promised share, else the unreserved ones.
     */
    private List<TargetLoad> allowed(List<TargetLoad> open) {
        return tier == ShareTier.PROMISED
                ? open
                : core.reserve().unreserved(open, core.tokensWithinShares());
    }

    /**
     * Chooses an idle engine, even a reserved one, for a request within its observed share. Each
     * gateway sizes the reserve by its own prompts; without this, one with long prompts would
     * reserve all engines and refuse such a request although engines are idle.
     *
     * @param open The engines that accept requests.
     * @param now The present time, in milliseconds.
     * @return The choice, or empty if no engine is idle or the request exceeds that share too.
     */
    private Optional<EngineChoice> chooseIdle(List<TargetLoad> open, long now) {
        if (tier != ShareTier.OBSERVED) {
            return Optional.empty();
        }
        return choose(
                open, open.stream().filter(each -> each.all(now).requests() == 0).toList(), now);
    }

    /**
     * Chooses an engine with capacity.
     *
     * @param open The engines that accept requests.
     * @param allowed The engines that the request may use.
     * @param now The present time, in milliseconds.
     * @return The choice, or empty if no engine has capacity.
     */
    private Optional<EngineChoice> choose(
            List<TargetLoad> open, List<TargetLoad> allowed, long now) {
        PrefillRate rate = core.targets().rate(service);
        EngineChooser chooser = core.engines();
        List<TargetLoad> candidates =
                chooser.withCapacity(demand, tier, allowed, engine, rate, now);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        PromptCacheLookup cacheLookup =
                PromptCacheLookup.of(demand.chain(), allowed, copySources(open, allowed));
        double unreportedWork = core.unreportedWork().perTarget(open.size(), now);
        return chooser.choose(
                demand, tier, candidates, cacheLookup, engine, rate, unreportedWork, now);
    }

    /**
     * Returns the engines that can't serve the request but may supply cached parts of its prompt.
     *
     * @param open The engines that accept requests.
     * @param allowed The engines that the request may use.
     * @return The engines that the request may not use and those that are draining.
     */
    private List<TargetLoad> copySources(List<TargetLoad> open, List<TargetLoad> allowed) {
        List<TargetLoad> sources = new ArrayList<>(core.targets().draining(service));
        if (allowed.size() < open.size()) {
            open.stream().filter(each -> !allowed.contains(each)).forEach(sources::add);
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
        boolean first = charge.isEmpty();
        if (first) {
            core.shares().sent(demand.organisation(), demand.cost(), tier, core.now());
            charge = Optional.of(new ShareCharge(tier, core.now()));
        }
        double promptMillis = core.targets().rate(service).millis(choice.prefillTokens());
        core.unreportedWork()
                .sent(EngineChooser.workMillis(promptMillis, engine.slots()), core.now());
        if (first && tier == ShareTier.PROMISED) {
            core.reserve().sent(promptMillis, demand.cost());
        }
        assumedEntries = Optional.of(AssumedCacheEntries.add(core, choice.load(), demand.chain()));
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
     * Records that the first event of the response arrived, which confirms the prefill and measures
     * its rate.
     *
     * @param running The request as it runs at its engine.
     */
    void recordResponseStart(RunningRequest running) {
        assumedEntries = Optional.empty();
        core.targets().rate(service).observe(running, core.now() - running.sentMillis());
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
                demand.ownTokens() + demand.answerTokens(),
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

    private Optional<EngineChoice> chooseLeastLoaded(List<TargetLoad> open, long now) {
        return core.services().choose(open, now).map(load -> choiceWithoutCapacity(load, open));
    }

    /**
     * Builds the choice of an engine that has no capacity.
     *
     * @param load The engine.
     * @param open The engines that accept requests.
     * @return The choice, with an unlimited backlog.
     */
    private EngineChoice choiceWithoutCapacity(TargetLoad load, List<TargetLoad> open) {
        PromptCacheLookup cacheLookup =
                PromptCacheLookup.of(demand.chain(), open, core.targets().draining(service));
        Optional<TargetLoad> source =
                engine.canCopyCache() ? cacheLookup.source(load) : Optional.empty();
        long cachedTokens =
                source.isPresent() ? cacheLookup.most() : cacheLookup.cachedTokens(load);
        return new EngineChoice(
                load, demand.promptTokens() - cachedTokens, Double.MAX_VALUE, source);
    }
}
