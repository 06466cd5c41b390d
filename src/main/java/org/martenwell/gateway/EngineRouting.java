package org.martenwell.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.martenwell.balance.EngineChoice;
import org.martenwell.balance.EngineChooser;
import org.martenwell.balance.PromptKeepers;
import org.martenwell.balance.PromptNeed;
import org.martenwell.balance.ReadingRate;
import org.martenwell.balance.RunningRequest;
import org.martenwell.balance.TargetLoad;
import org.martenwell.error.ErrorKind;
import org.martenwell.route.EngineCapacity;
import org.martenwell.route.Route;
import org.martenwell.share.ShareTier;
import org.martenwell.share.ShareUse;

/** Decides for one request to a model engine: which engine, or to wait, or to give it up. */
final class EngineRouting {

    /** The part of an objective for which a request waits for room. */
    private static final double WAIT_SHARE = 0.2;

    /** What all requests share. */
    private final GatewayCore core;

    /** What the request needs. */
    private final PromptNeed need;

    /** What engines hold. */
    private final EngineCapacity engine;

    /** The engines' service. */
    private final String service;

    /** Which fair share the request was within when it was last decided. */
    private ShareTier tier = ShareTier.PROMISED;

    /** What the engine of the present attempt is taken to keep, until its answer begins. */
    private Optional<PlacedPrompt> placed = Optional.empty();

    /** How the request is counted as served, if it is. */
    private Optional<Counted> counted = Optional.empty();

    /**
     * How a request is counted as served.
     *
     * @param tier Which share it was within when it was sent.
     * @param sentMillis When it was sent, in milliseconds.
     */
    private record Counted(ShareTier tier, long sentMillis) {}

    /**
     * What becomes of a request now.
     *
     * @param choice The engine that serves it, if there is one.
     * @param refusal Why it is given up, if it is; without a choice and a refusal it waits.
     * @param use How much of its fair shares the organisation has used.
     */
    record Decision(Optional<EngineChoice> choice, Optional<ErrorKind> refusal, ShareUse use) {}

    /**
     * Creates the routing of a request.
     *
     * @param core What all requests share.
     * @param need What the request needs.
     * @param engine What engines hold.
     * @param service The engines' service.
     */
    EngineRouting(GatewayCore core, PromptNeed need, EngineCapacity engine, String service) {
        this.core = core;
        this.need = need;
        this.engine = engine;
        this.service = service;
    }

    /** Notes that the request asks for its tokens and shares parts of its prompt. */
    void asked() {
        for (int index = 0; index < need.chain().length(); index++) {
            core.sharedKeys().seen(need.chain().key(index));
        }
        core.shares().asked(need.organisation(), need.cost(), core.now());
    }

    /**
     * Returns how much of its fair shares the organisation has used.
     *
     * @return What it has used.
     */
    ShareUse use() {
        return core.shares().use(need.organisation(), need.cost(), core.windowTokens(), core.now());
    }

    /**
     * Decides what becomes of the request.
     *
     * @param open The engines that take requests, one at least.
     * @param attempts To how many engines it was sent.
     * @param route Its route.
     * @return The decision.
     */
    Decision decide(List<TargetLoad> open, int attempts, Route route) {
        long now = core.now();
        ShareUse use = use();
        tier = use.tier();
        List<TargetLoad> allowed = allowed(open);
        Optional<EngineChoice> choice = choose(open, allowed, now).or(() -> chooseIdle(open, now));
        if (choice.isPresent()) {
            return new Decision(choice, Optional.empty(), use);
        }
        if (attempts > 0) {
            // It has waited enough already.
            return new Decision(leastLoaded(open, now), Optional.empty(), use);
        }
        if (tier == ShareTier.BEYOND || allowed.isEmpty()) {
            return new Decision(choice, Optional.of(ErrorKind.RATE_EXCEEDED), use);
        }
        if (now - need.arrivedMillis() >= WAIT_SHARE * route.objectiveMillis()) {
            return new Decision(choice, Optional.of(ErrorKind.WAIT_TOO_LONG), use);
        }
        return new Decision(choice, Optional.empty(), use);
    }

    /**
     * Returns the engines that the request may use.
     *
     * @param open The engines that take requests.
     * @return All of them within the organisation's share, else those that are not reserved.
     */
    private List<TargetLoad> allowed(List<TargetLoad> open) {
        return tier == ShareTier.PROMISED
                ? open
                : core.reserve().spare(open, core.tokensWithinShares());
    }

    /**
     * Chooses a reserved engine that has nothing to do. One gateway reckons from its own prompts
     * how many engines to reserve; with long ones it reserves all, and refused an organisation
     * below its share of what is produced while engines were idle.
     *
     * @param open The engines that take requests.
     * @param now The present time, in milliseconds.
     * @return The choice or empty if the request is beyond that share too or none is idle.
     */
    private Optional<EngineChoice> chooseIdle(List<TargetLoad> open, long now) {
        if (tier != ShareTier.OBSERVED) {
            return Optional.empty();
        }
        return choose(
                open, open.stream().filter(each -> each.all(now).requests() == 0).toList(), now);
    }

    /**
     * Chooses an engine with room.
     *
     * @param open The engines that take requests.
     * @param allowed Those that the request may use.
     * @param now The present time, in milliseconds.
     * @return The choice or empty if none has room.
     */
    private Optional<EngineChoice> choose(
            List<TargetLoad> open, List<TargetLoad> allowed, long now) {
        ReadingRate rate = core.targets().rate(service);
        EngineChooser chooser = core.engines();
        List<TargetLoad> candidates = chooser.withRoom(need, tier, allowed, engine, rate, now);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        PromptKeepers keepers = PromptKeepers.of(need.chain(), allowed, handingOver(open, allowed));
        double unseen = core.unseen().perTarget(open.size(), now);
        return chooser.choose(need, tier, candidates, keepers, engine, rate, unseen, now);
    }

    /**
     * Returns the engines that the request may not use but that may hand parts of its prompt over.
     *
     * @param open The engines that take requests.
     * @param allowed Those that the request may use.
     * @return The others and those that are leaving.
     */
    private List<TargetLoad> handingOver(List<TargetLoad> open, List<TargetLoad> allowed) {
        List<TargetLoad> others = new ArrayList<>(core.targets().leaving(service));
        if (allowed.size() < open.size()) {
            open.stream().filter(each -> !allowed.contains(each)).forEach(others::add);
        }
        return others;
    }

    /**
     * Notes what sending the request to an engine changes.
     *
     * @param choice The engine and why it was chosen.
     */
    void sent(EngineChoice choice) {
        boolean first = counted.isEmpty();
        if (first) {
            core.shares().begun(need.organisation(), need.cost(), tier, core.now());
            counted = Optional.of(new Counted(tier, core.now()));
        }
        double promptMillis = core.targets().rate(service).millis(choice.unreadTokens());
        core.unseen().sent(EngineChooser.workMillis(promptMillis, engine.slots()), core.now());
        if (first && tier == ShareTier.PROMISED) {
            core.reserve().sent(promptMillis, need.cost());
        }
        placed = Optional.of(PlacedPrompt.at(core, choice.load(), need.chain()));
    }

    /**
     * Notes that the engine has not read the prompt, as far as is known. Behind a crash of engines
     * an organisation would else pay up to four times for a request that nobody served.
     */
    void notRead() {
        if (placed.isEmpty()) {
            return;
        }
        placed.get().takeBack();
        placed = Optional.empty();
        counted.ifPresent(this::takeBack);
        counted = Optional.empty();
    }

    /**
     * Takes back that the request is counted as served.
     *
     * @param request How it is counted.
     */
    private void takeBack(Counted request) {
        core.shares()
                .notBegun(
                        need.organisation(),
                        need.cost(),
                        request.tier(),
                        request.sentMillis(),
                        core.now());
    }

    /**
     * Notes that the first event of an answer arrived.
     *
     * @param running The request at its engine.
     */
    void begun(RunningRequest running) {
        placed = Optional.empty();
        core.targets().rate(service).observe(running, core.now() - running.sentMillis());
    }

    /**
     * Returns what the request puts on an engine.
     *
     * @param choice The engine and why it was chosen.
     * @return The request at its engine.
     */
    RunningRequest running(EngineChoice choice) {
        return new RunningRequest(
                choice.unreadTokens(),
                need.ownTokens() + need.answerTokens(),
                core.now(),
                choice.backlogMillis());
    }

    /**
     * Returns the request's organisation.
     *
     * @return The organisation's name.
     */
    String organisation() {
        return need.organisation();
    }

    /**
     * Chooses the least loaded engine, whether it has room or not.
     *
     * @param open The engines.
     * @param now The present time, in milliseconds.
     * @return The engine.
     */
    private Optional<EngineChoice> leastLoaded(List<TargetLoad> open, long now) {
        return core.services().choose(open, now).map(load -> anyway(load, open));
    }

    /**
     * Chooses an engine that has no room.
     *
     * @param load The engine.
     * @param open The engines that take requests.
     * @return The choice.
     */
    private EngineChoice anyway(TargetLoad load, List<TargetLoad> open) {
        PromptKeepers keepers =
                PromptKeepers.of(need.chain(), open, core.targets().leaving(service));
        Optional<TargetLoad> source =
                engine.canCopyCache() ? keepers.source(load) : Optional.empty();
        long kept = source.isPresent() ? keepers.most() : keepers.keptTokens(load);
        return new EngineChoice(load, need.promptTokens() - kept, Double.MAX_VALUE, source);
    }
}
