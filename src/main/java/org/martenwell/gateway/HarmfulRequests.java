package org.martenwell.gateway;

import io.activej.reactor.nio.NioReactor;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.martenwell.directory.FleetDirectory;
import org.martenwell.error.ErrorKind;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.HeldRequest;
import org.martenwell.quarantine.Quarantine;
import org.martenwell.quarantine.QuarantineUpdate;
import org.martenwell.quarantine.RequestSummary;

/**
 * Holds back requests under which targets end. Gateways tell each other which targets ended and
 * what these had; what is decided is kept in the directory, so that it outlasts all gateways.
 */
final class HarmfulRequests {

    /** Of how many suspected requests it is remembered what operators are told of them. */
    private static final int MAX_SUMMARIES = 1_024;

    /**
     * How often all gateways together tell again what is held back, in milliseconds. One that
     * missed it, cut off or over a connection that went silent, hears it within a second or two.
     */
    private static final long TOLD_AGAIN_MILLIS = 1_000;

    /** The loop. */
    private final NioReactor reactor;

    /** This gateway's name. */
    private final String gateway;

    /** Counts and logs. */
    private final GatewayLog log;

    /** The time of day, which directory entries tell. */
    private final Clock clock;

    /** Spreads what is told again. */
    private final Random random;

    /** When this gateway tells again what is held back, in milliseconds. */
    private long toldAgainMillis;

    /** Decides. */
    private final Quarantine quarantine = new Quarantine();

    /** Finds out which targets ended. */
    private final TargetEnds ends;

    /** The requests that are being served. */
    private final Set<RequestDispatch> active = new HashSet<>();

    /** What operators are told of requests that this gateway sent, the longest known first. */
    private final Map<Fingerprint, RequestSummary> summaries = new LinkedHashMap<>();

    /** The requests that the directory held back when it was last read. */
    private Set<Fingerprint> stored = Set.of();

    /** Called when peers should be told at once. */
    private Runnable newsListener = () -> {};

    /** Where what is decided is kept; empty until it is known. */
    private Optional<FleetDirectory> directory = Optional.empty();

    /**
     * Creates a gateway's view, which holds nothing back yet.
     *
     * @param reactor The loop.
     * @param gateway This gateway's name.
     * @param log Counts and logs.
     * @param clock The time of day.
     * @param random Spreads what is told again.
     */
    HarmfulRequests(
            NioReactor reactor, String gateway, GatewayLog log, Clock clock, Random random) {
        this.reactor = reactor;
        this.gateway = gateway;
        this.log = log;
        this.clock = clock;
        this.random = random;
        this.ends = new TargetEnds(reactor, this::ended);
        log.metrics().registerGauge("requests_held_back", quarantine::held);
        log.metrics().registerGauge("targets_ended_under_requests", quarantine::crashCount);
    }

    /**
     * Sets where what is decided is kept.
     *
     * @param learnt The directory.
     */
    void directory(FleetDirectory learnt) {
        directory = Optional.of(learnt);
    }

    /**
     * Sets what to do when peers should be told at once.
     *
     * @param listener Called for each target that ended.
     */
    void onNews(Runnable listener) {
        newsListener = listener;
    }

    /**
     * Notes that a request is being served.
     *
     * @param request The request.
     */
    void begin(RequestDispatch request) {
        active.add(request);
    }

    /**
     * Notes that a request is no longer served.
     *
     * @param request The request.
     */
    void end(RequestDispatch request) {
        active.remove(request);
    }

    /**
     * Tells whether a request must not be sent.
     *
     * @param identity What makes it the same one.
     * @return The kind of its answer or empty if it may be sent.
     */
    Optional<ErrorKind> refusal(RequestIdentity identity) {
        return quarantine.blocksNothing() || !quarantine.tracksScope(identity.scope())
                ? Optional.empty()
                : quarantine.state(identity.fingerprint()).refusal();
    }

    /**
     * Notes that an attempt broke off. The end of a target that leaves, or whose entry went before,
     * was planned and speaks against nobody.
     *
     * @param target The target.
     * @param identity What makes the request the same one.
     * @param verdict Called once it is known whether the target ended, or has taken too long.
     */
    void broken(KnownTarget target, RequestIdentity identity, Runnable verdict) {
        if (target.load().availability().leaves() || target.connections().closed()) {
            verdict.run();
        } else {
            ends.broken(target, identity.suspect(), verdict);
        }
    }

    /**
     * Notes that an attempt was given up before its answer was whole. Only where the path and the
     * caller are suspected already is the request hashed for it: under load many callers leave.
     *
     * @param target The target.
     * @param identity What makes the request the same one.
     */
    void givenUp(KnownTarget target, RequestIdentity identity) {
        if (quarantine.size() > 0 && quarantine.tracksScope(identity.scope())) {
            ends.givenUp(target, identity.suspect());
        }
    }

    /**
     * Notes that a target has ended, as a refused connection or the directory tells.
     *
     * @param target The target.
     */
    void targetEnded(KnownTarget target) {
        ends.ended(target);
    }

    /**
     * Notes that a target answered a request whole, so that it does not end its targets.
     *
     * @param identity What makes the request the same one.
     */
    void served(RequestIdentity identity) {
        if (quarantine.size() == 0 || !quarantine.tracksScope(identity.scope())) {
            return;
        }
        Fingerprint fingerprint = identity.fingerprint();
        if (quarantine.clear(fingerprint, reactor.currentTimeMillis())) {
            log.quarantined("request-released", fingerprint, "served");
            directory.ifPresent(each -> each.release(fingerprint));
        }
    }

    /**
     * Takes in what a peer tells.
     *
     * @param words What it tells.
     */
    void heard(List<QuarantineUpdate> words) {
        for (QuarantineUpdate each : words) {
            if (quarantine.applyUpdate(each, reactor.currentTimeMillis())) {
                held(each.fingerprint(), "peer");
            }
        }
    }

    /**
     * Takes in what the directory holds back. What it no longer does was cleared by an operator.
     *
     * @param entries All requests that it holds back.
     */
    void stored(Map<Fingerprint, HeldRequest> entries) {
        long now = reactor.currentTimeMillis();
        for (Fingerprint each : stored) {
            if (!entries.containsKey(each)) {
                quarantine.clear(each, now);
                log.quarantined("request-released", each, "directory");
            }
        }
        stored = Set.copyOf(entries.keySet());
        for (Fingerprint each : stored) {
            if (quarantine.hold(each, now)) {
                held(each, "directory");
            }
        }
    }

    /**
     * Takes what peers are to be told now, and decides what was undecided until now.
     *
     * @param members How many gateways the fleet has.
     * @return The words.
     */
    List<QuarantineUpdate> takeUpdates(int members) {
        long now = reactor.currentTimeMillis();
        quarantine.decide(now).forEach(each -> held(each, "own"));
        List<QuarantineUpdate> words = new ArrayList<>(quarantine.takeUpdates(now));
        if (now >= toldAgainMillis) {
            toldAgainMillis =
                    now + Math.round(TOLD_AGAIN_MILLIS * members * 2 * random.nextDouble());
            words.addAll(quarantine.heldUpdates());
        }
        return words;
    }

    /**
     * Returns all that a peer which knows nothing is to be told.
     *
     * @return The words.
     */
    List<QuarantineUpdate> all() {
        return quarantine.snapshot();
    }

    /**
     * Takes in that a target ended while it had a request of this gateway.
     *
     * @param suspect The request.
     * @param life The target's life.
     */
    private void ended(Suspect suspect, String life) {
        Fingerprint fingerprint = suspect.fingerprint();
        summaries.put(fingerprint, suspect.summary());
        if (summaries.size() > MAX_SUMMARIES) {
            summaries.remove(summaries.keySet().iterator().next());
        }
        if (quarantine.recordCrash(fingerprint, life, reactor.currentTimeMillis())) {
            newsListener.run();
        }
        log.suspected(suspect, life, quarantine.crashedIncarnations(fingerprint).size());
    }

    /**
     * Stops what is being sent of a request that is held back from now on, and makes that last.
     *
     * @param fingerprint The request.
     * @param learntFrom Where that was learnt.
     */
    private void held(Fingerprint fingerprint, String learntFrom) {
        log.quarantined("request-held", fingerprint, learntFrom);
        for (RequestDispatch each : List.copyOf(active)) {
            each.stopIfHeld(fingerprint);
        }
        RequestSummary summary = summaries.get(fingerprint);
        if (summary != null && !stored.contains(fingerprint)) {
            HeldRequest entry =
                    new HeldRequest(
                            fingerprint,
                            summary,
                            quarantine.crashedIncarnations(fingerprint),
                            gateway,
                            clock.millis());
            directory.ifPresent(each -> each.hold(entry));
        }
    }
}
