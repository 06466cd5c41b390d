package org.martenwell.gateway;

import io.activej.reactor.nio.NioReactor;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.martenwell.exchange.Reach;

/**
 * Finds out whether a target has ended when attempts at it break off. A connection that is refused
 * tells so within a millisecond or two; where none is, the target's entry in the directory does
 * later.
 */
final class TargetEnds {

    /**
     * For how long after an attempt broke off the end of its target is held against it, in
     * milliseconds: a target whose end nobody was told of stays in the directory for some 4 s.
     */
    private static final long BROKEN_MILLIS = 6_000;

    /**
     * The same for an attempt that was given up, which the target may have gone on with, in
     * milliseconds.
     */
    private static final long GIVEN_UP_MILLIS = 1_000;

    /**
     * How long an attempt waits at most to learn whether its target ended, in milliseconds. A
     * connection is refused within 3 ms; a request that may be repeated should not lose more.
     */
    private static final long VERDICT_MILLIS = 100;

    /** The loop. */
    private final NioReactor reactor;

    /** Is told of targets that ended. */
    private final EndListener listener;

    /** What broke off lately, by the target's life, the longest unchanged first. */
    private final Map<String, Life> lives = new LinkedHashMap<>();

    /** Is told of targets that ended. */
    interface EndListener {

        /**
         * Called for each request that a target had when it ended.
         *
         * @param suspect The request.
         * @param life The target's life.
         */
        void ended(Suspect suspect, String life);
    }

    /**
     * An attempt that broke off or was given up.
     *
     * @param suspect The request.
     * @param untilMillis Until when the end of the target is held against it, in milliseconds.
     */
    private record Attempt(Suspect suspect, long untilMillis) {}

    /** What broke off at one life of a target. */
    private static final class Life {

        /** The attempts. */
        private final List<Attempt> attempts = new ArrayList<>();

        /** Those who wait to learn whether the target ended. */
        private final List<Runnable> waiting = new ArrayList<>();

        /** Whether a connection is being opened to find out. */
        private boolean probing;

        /** Whether the target is known to have ended. */
        private boolean ended;

        /** When anything last changed, in milliseconds. */
        private long changedMillis;
    }

    /**
     * Creates a watch that has seen nothing.
     *
     * @param reactor The loop.
     * @param listener Is told of targets that ended.
     */
    TargetEnds(NioReactor reactor, EndListener listener) {
        this.reactor = reactor;
        this.listener = listener;
    }

    /**
     * Notes that an attempt broke off, and finds out whether its target ended.
     *
     * @param target The target.
     * @param suspect The request.
     * @param verdict Called once that is known or has taken too long.
     */
    void broken(KnownTarget target, Suspect suspect, Runnable verdict) {
        Life life = touch(target);
        if (life.ended) {
            listener.ended(suspect, name(target));
            verdict.run();
            return;
        }
        life.attempts.add(new Attempt(suspect, reactor.currentTimeMillis() + BROKEN_MILLIS));
        life.waiting.add(verdict);
        reactor.delayBackground(VERDICT_MILLIS, () -> tell(life));
        if (!life.probing) {
            life.probing = true;
            target.connections().probe(reach -> probed(target, life, reach));
        }
    }

    /**
     * Notes that an attempt was given up, which its target may have gone on with.
     *
     * @param target The target.
     * @param suspect The request.
     */
    void givenUp(KnownTarget target, Suspect suspect) {
        long until = reactor.currentTimeMillis() + GIVEN_UP_MILLIS;
        touch(target).attempts.add(new Attempt(suspect, until));
    }

    /**
     * Notes that a target has ended.
     *
     * @param target The target.
     */
    void ended(KnownTarget target) {
        Life life = lives.get(name(target));
        if (life != null) {
            end(target, life);
        }
    }

    /**
     * Takes what came of a connection that was opened to find out.
     *
     * @param target The target.
     * @param life What broke off there.
     * @param reach What came of it.
     */
    private void probed(KnownTarget target, Life life, Reach reach) {
        life.probing = false;
        if (reach == Reach.REFUSED) {
            target.load().health().connectFailed(reactor.currentTimeMillis());
            end(target, life);
        }
        // One that is accepted may have come too late and reach the target's next life, so the
        // directory may still tell that this one ended.
        tell(life);
    }

    /**
     * Holds the end of a target against what it had.
     *
     * @param target The target.
     * @param life What broke off there.
     */
    private void end(KnownTarget target, Life life) {
        life.ended = true;
        long now = reactor.currentTimeMillis();
        for (Attempt each : List.copyOf(life.attempts)) {
            if (now <= each.untilMillis()) {
                listener.ended(each.suspect(), name(target));
            }
        }
        life.attempts.clear();
    }

    /**
     * Tells those who wait.
     *
     * @param life What broke off at a target.
     */
    private static void tell(Life life) {
        List<Runnable> told = List.copyOf(life.waiting);
        life.waiting.clear();
        told.forEach(Runnable::run);
    }

    /**
     * Returns what broke off at a target, as the life that changed last.
     *
     * @param target The target.
     * @return What broke off there.
     */
    private Life touch(KnownTarget target) {
        long now = reactor.currentTimeMillis();
        forgetBefore(now - BROKEN_MILLIS);
        Life known = lives.remove(name(target));
        Life touched = known == null ? new Life() : known;
        touched.changedMillis = now;
        lives.put(name(target), touched);
        return touched;
    }

    /**
     * Forgets lives that have not changed for long.
     *
     * @param millis The time before which they last changed, in milliseconds.
     */
    private void forgetBefore(long millis) {
        Iterator<Life> all = lives.values().iterator();
        while (all.hasNext() && all.next().changedMillis < millis) {
            all.remove();
        }
    }

    /**
     * Returns the name of a target's life.
     *
     * @param target The target.
     * @return The name.
     */
    private static String name(KnownTarget target) {
        return target.load().target().life();
    }
}
