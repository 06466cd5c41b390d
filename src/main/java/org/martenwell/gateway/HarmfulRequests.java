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
import java.util.function.Consumer;
import org.martenwell.directory.FleetDirectory;
import org.martenwell.error.ErrorKind;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.Quarantine;
import org.martenwell.quarantine.QuarantineState;
import org.martenwell.quarantine.QuarantineUpdate;
import org.martenwell.quarantine.QuarantinedRequest;
import org.martenwell.quarantine.RequestSummary;

/**
 * Quarantine of requests, and of parts of prompts, that crash targets. Gateways report to each
 * other which targets crashed and with which of them. What is quarantined is stored in the
 * directory, so that it persists when all gateways restart.
 */
final class HarmfulRequests {

    /**
     * The time for which a target must keep running after the start of a response, or after the end
     * of a close-delimited one, to show that the parts of the prompt are harmless, in milliseconds.
     */
    static final long SURVIVAL_MILLIS = 500;

    /** The number of suspected requests whose summaries are retained. */
    private static final int MAX_SUMMARIES = 1_024;

    /**
     * The average interval at which any one gateway of the fleet sends all quarantined requests to
     * its peers again, in milliseconds. A gateway that missed an update receives it about this much
     * later.
     */
    private static final long FLEET_REPEAT_MILLIS = 1_000;

    private final NioReactor reactor;

    private final String gateway;

    private final GatewayLog log;

    private final Clock clock;

    private final Random random;

    /** The time at which this gateway next repeats all quarantined requests, in milliseconds. */
    private long nextRepeatMillis;

    private final Quarantine quarantine = new Quarantine();

    private final TargetCrashDetector crashDetector;

    /** The requests in progress. */
    private final Set<RequestDispatch> active = new HashSet<>();

    /** The summaries of suspected requests that this gateway sent, in insertion order. */
    private final Map<Fingerprint, RequestSummary> summaries = new LinkedHashMap<>();

    /** The quarantined requests that the directory last listed. */
    private Set<Fingerprint> stored = Set.of();

    /** The callback that sends updates to peers without delay. */
    private Runnable urgentUpdateListener = () -> {};

    /** The directory that stores quarantined requests, empty until it is set. */
    private Optional<FleetDirectory> directory = Optional.empty();

    /** Receives crashes of targets. */
    private final class CrashReporter implements TargetCrashDetector.CrashListener {

        @Override
        public void crashed(SuspectRequest suspect, String incarnation) {
            recordSuspect(suspect, incarnation);
        }

        @Override
        public void targetCrashed(String incarnation, CrashSource source) {
            log.targets().crashed(incarnation, source);
        }
    }

    /**
     * Creates an empty quarantine.
     *
     * @param reactor The event loop.
     * @param gateway This gateway's name.
     * @param log The log and metrics.
     * @param clock The wall clock, for the times of directory entries.
     * @param random The source of jitter for the repeated updates.
     */
    HarmfulRequests(
            NioReactor reactor, String gateway, GatewayLog log, Clock clock, Random random) {
        this.reactor = reactor;
        this.gateway = gateway;
        this.log = log;
        this.clock = clock;
        this.random = random;
        this.crashDetector = new TargetCrashDetector(reactor, new CrashReporter());
        log.metrics().registerGauge("requests_held_back", quarantine::quarantinedCount);
        log.metrics().registerGauge("targets_ended_under_requests", quarantine::crashCount);
    }

    /**
     * Sets the directory that stores quarantined requests.
     *
     * @param changed The directory.
     */
    void directory(FleetDirectory changed) {
        directory = Optional.of(changed);
    }

    /**
     * Sets the callback that sends updates to peers without delay.
     *
     * @param listener The callback, which runs for new crashes of targets and for requests and
     *     parts that were cleared.
     */
    void onUrgentUpdate(Runnable listener) {
        urgentUpdateListener = listener;
    }

    /**
     * Registers a request in progress.
     *
     * @param request The request.
     */
    void begin(RequestDispatch request) {
        active.add(request);
    }

    /**
     * Removes a request that is no longer in progress.
     *
     * @param request The request.
     */
    void end(RequestDispatch request) {
        active.remove(request);
    }

    /**
     * Returns the error with which a request is refused.
     *
     * @param identity The request's identity.
     * @return The error to respond with, or empty if the request may be sent.
     */
    Optional<ErrorKind> refusal(RequestIdentity identity) {
        if (quarantine.blocksNothing()) {
            return Optional.empty();
        }
        List<Fingerprint> parts = identity.partFingerprints();
        QuarantineState state =
                quarantine.tracksScope(identity.scope())
                        ? quarantine.state(identity.fingerprint(), parts)
                        : QuarantineState.FREE;
        return state.or(quarantine.state(parts)).refusal();
    }

    /**
     * Records that an attempt failed after the request was sent. The shutdown of a target that is
     * draining or was removed from the directory is planned and not attributed to the request.
     *
     * @param run The run of the target in which the request was written.
     * @param identity The request's identity.
     * @param afterProbe The callback that runs once a probe has shown whether the target crashed,
     *     or after a timeout.
     */
    void attemptFailed(TargetRun run, RequestIdentity identity, Runnable afterProbe) {
        if (isShutDown(run.target())) {
            afterProbe.run();
        } else {
            crashDetector.attemptFailed(run, identity.suspect(), afterProbe);
        }
    }

    private static boolean isShutDown(KnownTarget target) {
        return target.load().availability().isDraining() || target.connections().closed();
    }

    /**
     * Finds out whether a target crashed at the end of a response that ended with its connection.
     * The shutdown of a target that is draining, or was removed without a known crash, is planned,
     * so that its responses are as complete as those of other targets.
     *
     * @param run The run of the target in which the request was written.
     * @param identity The request's identity.
     * @param afterProbe Receives {@code true} if the target crashed, {@code false} if it didn't or
     *     that isn't known in time.
     */
    void endedByClose(TargetRun run, RequestIdentity identity, Consumer<Boolean> afterProbe) {
        if (isShutDown(run.target()) && !crashedBeforeRemoval(run)) {
            afterProbe.accept(false);
        } else {
            List<SharedPart> parts = identity.sharedParts();
            crashDetector.endedByClose(
                    run,
                    identity::suspect,
                    crashed -> {
                        if (!crashed && !parts.isEmpty()) {
                            reactor.delayBackground(
                                    SURVIVAL_MILLIS, () -> servedIfAlive(run, parts));
                        }
                        afterProbe.accept(crashed);
                    });
        }
    }

    /** A target that drains may stop listening before its last responses end. */
    private static boolean crashedBeforeRemoval(TargetRun run) {
        return run.crashed() && !run.target().load().availability().isDraining();
    }

    /** Clears parts of a prompt unless the target that served it has crashed meanwhile. */
    private void servedIfAlive(TargetRun run, List<SharedPart> parts) {
        if (!run.mayHaveCrashed()) {
            partsServed(parts);
        }
    }

    /**
     * Records that the gateway cancelled an attempt. Many callers disconnect under load, so the
     * body is hashed only if requests of the same scope are suspected already.
     *
     * @param target The target.
     * @param identity The request's identity.
     */
    void attemptCancelled(KnownTarget target, RequestIdentity identity) {
        if (quarantine.size() > 0
                && (quarantine.tracksScope(identity.scope())
                        || identity.sharedParts().stream()
                                .anyMatch(each -> quarantine.suspects(each.fingerprint())))) {
            crashDetector.attemptCancelled(target, identity.suspect());
        }
    }

    /**
     * Records that a target crashed.
     *
     * @param target The target.
     * @param source The source that shows it.
     */
    void targetCrashed(KnownTarget target, CrashSource source) {
        crashDetector.targetCrashed(target, source);
    }

    /**
     * Records that a target served a request in full, which clears the request of suspicion.
     *
     * @param identity The request's identity.
     */
    void served(RequestIdentity identity) {
        if (quarantine.size() == 0 || !quarantine.tracksScope(identity.scope())) {
            return;
        }
        Fingerprint fingerprint = identity.fingerprint();
        if (quarantine.clear(fingerprint, reactor.currentTimeMillis())) {
            log.quarantine().changed("request-released", fingerprint, "served");
            directory.ifPresent(each -> each.release(fingerprint));
        }
    }

    /**
     * Records that a target served a prompt without crashing: its response is complete, or has been
     * in progress for {@link #SURVIVAL_MILLIS}.
     *
     * @param identity The request's identity.
     */
    void promptServed(RequestIdentity identity) {
        partsServed(identity.sharedParts());
    }

    private void partsServed(List<SharedPart> parts) {
        long now = reactor.currentTimeMillis();
        for (SharedPart each : parts) {
            Fingerprint part = each.fingerprint();
            boolean suspected = quarantine.suspects(part);
            if (quarantine.partServed(part, now)) {
                directory.ifPresent(present -> present.release(part));
            }
            if (suspected) {
                log.quarantine().partCleared(each);
            }
        }
        sendUrgentUpdates();
    }

    /**
     * Applies updates from a peer.
     *
     * @param updates The updates.
     */
    void applyUpdates(List<QuarantineUpdate> updates) {
        for (QuarantineUpdate each : updates) {
            if (quarantine.applyUpdate(each, reactor.currentTimeMillis())) {
                quarantined(each.fingerprint(), "peer");
            }
        }
        sendUrgentUpdates();
    }

    /**
     * Applies the directory's list of quarantined requests. An entry that disappeared was released
     * by an operator.
     *
     * @param entries All quarantined requests in the directory.
     */
    void applyStored(Map<Fingerprint, QuarantinedRequest> entries) {
        long now = reactor.currentTimeMillis();
        for (Fingerprint each : stored) {
            if (!entries.containsKey(each)) {
                quarantine.clear(each, now);
                log.quarantine().changed("request-released", each, "directory");
            }
        }
        stored = Set.copyOf(entries.keySet());
        for (Fingerprint each : stored) {
            if (quarantine.quarantine(each, entries.get(each).crashedIncarnations(), now)) {
                quarantined(each, "directory");
            }
        }
    }

    /**
     * Returns the updates that are due for peers, after deciding on the suspected requests.
     *
     * @param members The number of gateways in the fleet.
     * @return The updates that are due; periodically also all quarantined requests.
     */
    List<QuarantineUpdate> takeUpdates(int members) {
        long now = reactor.currentTimeMillis();
        quarantine.decide(now).forEach(each -> quarantined(each, "own"));
        List<QuarantineUpdate> updates = new ArrayList<>(quarantine.takeUpdates(now));
        if (now >= nextRepeatMillis) {
            nextRepeatMillis =
                    now + Math.round(FLEET_REPEAT_MILLIS * members * 2 * random.nextDouble());
            updates.addAll(quarantine.quarantinedRequestUpdates());
        }
        return updates;
    }

    /**
     * Returns the state of the quarantine for a newly connected peer.
     *
     * @return The updates.
     */
    List<QuarantineUpdate> snapshot() {
        return quarantine.snapshot();
    }

    private void recordSuspect(SuspectRequest suspect, String incarnation) {
        long now = reactor.currentTimeMillis();
        Fingerprint fingerprint = suspect.fingerprint();
        quarantine.recordCrash(fingerprint, incarnation, now);
        retainSummary(fingerprint, suspect.summary());
        log.quarantine()
                .suspected(
                        suspect, incarnation, quarantine.crashedIncarnations(fingerprint).size());
        for (SharedPart each : suspect.parts()) {
            Fingerprint part = each.fingerprint();
            boolean counted = quarantine.recordPartCrash(part, incarnation, now);
            retainSummary(part, suspect.summary().withPart(each.id()));
            if (counted) {
                log.quarantine()
                        .partSuspected(
                                each, incarnation, quarantine.crashedIncarnations(part).size());
            }
        }
        sendUrgentUpdates();
    }

    private void sendUrgentUpdates() {
        if (quarantine.takeUrgent()) {
            urgentUpdateListener.run();
        }
    }

    /** Retains how operators are shown a request or a part, if it is suspected. */
    private void retainSummary(Fingerprint fingerprint, RequestSummary summary) {
        if (quarantine.suspects(fingerprint)) {
            summaries.put(fingerprint, summary);
            if (summaries.size() > MAX_SUMMARIES) {
                summaries.remove(summaries.keySet().iterator().next());
            }
        }
    }

    /**
     * Cancels the requests in progress that have a newly quarantined fingerprint, and stores an
     * entry in the directory.
     *
     * @param fingerprint The request's fingerprint.
     * @param source The origin of the decision, for the log.
     */
    private void quarantined(Fingerprint fingerprint, String source) {
        RequestSummary summary = summaries.get(fingerprint);
        log.quarantine().held(fingerprint, Optional.ofNullable(summary), source);
        for (RequestDispatch each : List.copyOf(active)) {
            each.stopIfQuarantined(fingerprint);
        }
        if (summary != null && !stored.contains(fingerprint)) {
            QuarantinedRequest entry =
                    new QuarantinedRequest(
                            fingerprint,
                            summary,
                            quarantine.crashedIncarnations(fingerprint),
                            gateway,
                            clock.millis());
            directory.ifPresent(each -> each.quarantine(entry));
        }
    }
}
