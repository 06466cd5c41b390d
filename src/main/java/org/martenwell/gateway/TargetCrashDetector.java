package org.martenwell.gateway;

import io.activej.reactor.nio.NioReactor;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.martenwell.exchange.ConnectResult;
import org.martenwell.service.ResponseTimeout;

/**
 * Detects whether a target crashed when attempts at it fail, and reports the requests that it was
 * running. A probe connection that is refused confirms a crash within milliseconds; otherwise the
 * target's removal from the directory does so later.
 */
final class TargetCrashDetector {

    /**
     * The time after a failed attempt within which a crash is attributed to its request, in
     * milliseconds. The directory removes a crashed target after about 4 s.
     */
    private static final long FAILED_ATTEMPT_MILLIS = 6_000;

    /**
     * The time after a cancelled attempt within which a crash is attributed to its request, in
     * milliseconds. The target may have continued to run the request.
     */
    private static final long CANCELLED_ATTEMPT_MILLIS = 1_000;

    /**
     * The longest time that a failed attempt waits for the probe, in milliseconds. It delays the
     * retry; a connection to a crashed target is usually refused within 3 ms.
     */
    private static final long PROBE_TIMEOUT_MILLIS = 100;

    private final NioReactor reactor;

    private final CrashListener listener;

    /** Recent attempts by the target, the least recently changed first. */
    private final Map<KnownTarget, RecentAttempts> recent = new LinkedHashMap<>();

    /** Listener for crashes of targets. */
    interface CrashListener {

        /**
         * Reports a request that was in progress at a target when it crashed.
         *
         * @param suspect The request.
         * @param incarnation The target's incarnation.
         */
        void crashed(SuspectRequest suspect, String incarnation);

        /**
         * Reports that a target crashed.
         *
         * @param incarnation The target's incarnation.
         * @param source The source that shows it.
         */
        void targetCrashed(String incarnation, CrashSource source);
    }

    /** Callback that waits for a probe. */
    private interface ProbeListener {

        /**
         * Handles the result of the probe.
         *
         * @param result The result, empty if it isn't known in time.
         */
        void probed(Optional<ConnectResult> result);
    }

    /**
     * An attempt that failed or was cancelled.
     *
     * @param suspect The request.
     * @param untilMillis The time until which a crash is attributed to the request, in
     *     milliseconds.
     */
    private record Attempt(SuspectRequest suspect, long untilMillis) {}

    /** Recent attempts at one target since its last known crash. */
    private static final class RecentAttempts {

        /** The attempts that failed or were cancelled. */
        private final List<Attempt> failed = new ArrayList<>();

        /** The callbacks that wait for the probe in progress. */
        private final List<ProbeListener> waiting = new ArrayList<>();

        /** The callbacks that wait for the next probe, because they came after this one began. */
        private final List<ProbeListener> waitingForNext = new ArrayList<>();

        private boolean probing;

        private long changedMillis;
    }

    /**
     * Creates a detector.
     *
     * @param reactor The event loop.
     * @param listener The listener for crashes.
     */
    TargetCrashDetector(NioReactor reactor, CrashListener listener) {
        this.reactor = reactor;
        this.listener = listener;
    }

    /**
     * Records that an attempt failed, and probes whether its target crashed.
     *
     * @param run The run of the target in which the request was written.
     * @param suspect The request.
     * @param afterProbe The callback that runs once the probe is complete or has timed out.
     */
    void attemptFailed(TargetRun run, SuspectRequest suspect, Runnable afterProbe) {
        KnownTarget target = run.target();
        if (run.crashed()) {
            listener.crashed(suspect, incarnationOf(target));
            afterProbe.run();
            return;
        }
        RecentAttempts attempts = touch(target);
        attempts.failed.add(
                new Attempt(suspect, reactor.currentTimeMillis() + FAILED_ATTEMPT_MILLIS));
        awaitProbe(target, attempts, result -> afterProbe.run());
    }

    /**
     * Finds out whether a target crashed at the end of a response that its connection ended. A
     * target that accepts a connection afterwards survived the response.
     *
     * @param run The run of the target in which the request was written.
     * @param suspect Supplies the request, for which its body may have to be hashed.
     * @param afterProbe Receives {@code true} if the target crashed, {@code false} if it didn't or
     *     the probe has timed out.
     */
    void endedByClose(
            TargetRun run, Supplier<SuspectRequest> suspect, Consumer<Boolean> afterProbe) {
        KnownTarget target = run.target();
        if (run.crashed()) {
            listener.crashed(suspect.get(), incarnationOf(target));
            afterProbe.accept(true);
            return;
        }
        RecentAttempts attempts = touch(target);
        awaitProbe(
                target,
                attempts,
                result -> {
                    if (run.crashed()) {
                        listener.crashed(suspect.get(), incarnationOf(target));
                    } else if (result.filter(each -> each == ConnectResult.ACCEPTED).isEmpty()) {
                        long until = reactor.currentTimeMillis() + FAILED_ATTEMPT_MILLIS;
                        attempts.failed.add(new Attempt(suspect.get(), until));
                    }
                    afterProbe.accept(run.crashed());
                });
    }

    /** Calls a listener once a probe that begins now is complete or has timed out. */
    private void awaitProbe(KnownTarget target, RecentAttempts attempts, ProbeListener waiting) {
        ResponseTimeout.start(
                reactor,
                reactor::currentTimeMillis,
                PROBE_TIMEOUT_MILLIS,
                () -> {
                    if (attempts.waiting.remove(waiting)
                            || attempts.waitingForNext.remove(waiting)) {
                        waiting.probed(Optional.empty());
                    }
                });
        if (attempts.probing) {
            attempts.waitingForNext.add(waiting);
        } else {
            attempts.waiting.add(waiting);
            probe(target, attempts);
        }
    }

    private void probe(KnownTarget target, RecentAttempts attempts) {
        attempts.probing = true;
        target.connections().probe(result -> probed(target, attempts, result));
    }

    /**
     * Records that the gateway cancelled an attempt.
     *
     * @param target The target.
     * @param suspect The request.
     */
    void attemptCancelled(KnownTarget target, SuspectRequest suspect) {
        long until = reactor.currentTimeMillis() + CANCELLED_ATTEMPT_MILLIS;
        touch(target).failed.add(new Attempt(suspect, until));
    }

    /**
     * Records that a target crashed.
     *
     * @param target The target.
     * @param source The source that shows it.
     */
    void targetCrashed(KnownTarget target, CrashSource source) {
        target.crashes().record(source);
        listener.targetCrashed(incarnationOf(target), source);
        attributeCrash(target);
    }

    private void probed(KnownTarget target, RecentAttempts attempts, ConnectResult result) {
        // An accepted probe doesn't prove that the target is running: it may have reached the next
        // incarnation. The directory may still report the crash later.
        if (result == ConnectResult.REFUSED) {
            target.load().health().connectFailed(reactor.currentTimeMillis());
            targetCrashed(target, CrashSource.PROBE);
        }
        List<ProbeListener> done = new ArrayList<>(attempts.waiting);
        attempts.waiting.clear();
        (result == ConnectResult.REFUSED ? done : attempts.waiting).addAll(attempts.waitingForNext);
        attempts.waitingForNext.clear();
        attempts.probing = !attempts.waiting.isEmpty();
        if (attempts.probing) {
            probe(target, attempts);
        }
        done.forEach(each -> each.probed(Optional.of(result)));
    }

    /** Reports the recent attempts at a target that crashed. */
    private void attributeCrash(KnownTarget target) {
        RecentAttempts attempts = recent.get(target);
        if (attempts == null) {
            return;
        }
        long now = reactor.currentTimeMillis();
        for (Attempt each : List.copyOf(attempts.failed)) {
            if (now <= each.untilMillis()) {
                listener.crashed(each.suspect(), incarnationOf(target));
            }
        }
        attempts.failed.clear();
    }

    /** Returns the attempts at a target and moves it to the end of the map. */
    private RecentAttempts touch(KnownTarget target) {
        long now = reactor.currentTimeMillis();
        expire(now - FAILED_ATTEMPT_MILLIS);
        RecentAttempts known = recent.remove(target);
        RecentAttempts touched = known == null ? new RecentAttempts() : known;
        touched.changedMillis = now;
        recent.put(target, touched);
        return touched;
    }

    /**
     * Removes targets whose attempts have not changed recently.
     *
     * @param beforeMillis The time before which they last changed, in milliseconds.
     */
    private void expire(long beforeMillis) {
        Iterator<RecentAttempts> all = recent.values().iterator();
        while (all.hasNext() && all.next().changedMillis < beforeMillis) {
            all.remove();
        }
    }

    private static String incarnationOf(KnownTarget target) {
        return target.load().target().incarnation();
    }
}
