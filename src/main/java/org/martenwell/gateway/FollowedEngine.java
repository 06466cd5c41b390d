package org.martenwell.gateway;

import org.martenwell.balance.CachedPartUpdate;
import org.martenwell.exchange.HttpCaller;
import org.martenwell.exchange.HttpReply;
import org.martenwell.prompt.CachedPart;
import org.martenwell.prompt.CachedPartChanges;
import org.martenwell.prompt.PromptCacheView;
import org.martenwell.prompt.PromptChain;

/**
 * An engine whose word on what it keeps of prompts is followed. Its changes come late and some
 * never come, so they correct what is believed and do not replace it.
 */
final class FollowedEngine {

    /** How long an engine may hold a call while nothing changes, in milliseconds. */
    private static final long WAIT_MILLIS = 1_000;

    /** How long a call may take beyond that, in milliseconds. */
    private static final long CALL_MILLIS = 1_500;

    /** How long it is from an answer to the next call, in milliseconds. */
    private static final long PAUSE_MILLIS = 250;

    /** How long it is from a failure to the next call, in milliseconds. */
    private static final long FAILURE_MILLIS = 2_000;

    /** The status of a good answer. */
    private static final int OK = 200;

    /** What all requests share. */
    private final GatewayCore core;

    /** The engine. */
    private final KnownTarget target;

    /** Carries the calls. */
    private final HttpCaller caller;

    /** Where to go on. */
    private long since;

    /** Whether the engine is no longer followed. */
    private boolean closed;

    /**
     * Creates an engine that is not called yet.
     *
     * @param core What all requests share.
     * @param target The engine.
     */
    private FollowedEngine(GatewayCore core, KnownTarget target) {
        this.core = core;
        this.target = target;
        this.caller = core.targets().caller(target);
    }

    /**
     * Begins to follow an engine.
     *
     * @param core What all requests share.
     * @param target The engine.
     * @return The engine.
     */
    static FollowedEngine open(GatewayCore core, KnownTarget target) {
        FollowedEngine engine = new FollowedEngine(core, target);
        engine.call();
        return engine;
    }

    /**
     * Tells whether a target is the engine that is followed, in the same life.
     *
     * @param other The target.
     * @return {@code true} if it is.
     */
    boolean follows(KnownTarget other) {
        return target.load().target().life().equals(other.load().target().life());
    }

    /** Ends following the engine. */
    void close() {
        closed = true;
        caller.close();
    }

    /** Asks for changes, unless the engine wants nothing yet. */
    private void call() {
        if (closed) {
            return;
        }
        long rest = target.load().availability().pauseMillis(core.now());
        if (rest > 0) {
            callLater(rest);
            return;
        }
        String host = target.load().target().address().getHostString();
        caller.call(
                        core.dialect().keptChangesRequest(host, since, WAIT_MILLIS),
                        WAIT_MILLIS + CALL_MILLIS)
                .subscribe(
                        (reply, failure) -> {
                            boolean good = failure == null && reply.status() == OK;
                            if (good) {
                                take(reply);
                            }
                            callLater(good ? PAUSE_MILLIS : FAILURE_MILLIS);
                        });
    }

    /**
     * Asks for changes after a while.
     *
     * @param millis The time until then, in milliseconds.
     */
    private void callLater(long millis) {
        if (!closed) {
            core.reactor().delayBackground(millis, this::call);
        }
    }

    /**
     * Takes in changes.
     *
     * @param reply The engine's answer.
     */
    private void take(HttpReply reply) {
        CachedPartChanges changes = core.dialect().keptChanges(reply.body());
        since = changes.next();
        changes.parts().forEach(this::take);
        core.log().keptChanges(changes.parts().size(), changes.lost());
    }

    /**
     * Takes in what is kept of a part. Parts of one request alone are of no use to others.
     *
     * @param kept The part.
     */
    private void take(CachedPart kept) {
        long key = PromptChain.key(kept.model(), kept.part().id());
        long tokens = kept.part().tokens();
        PromptCacheView memory = target.load().promptCache();
        boolean news = tokens > 0 != memory.contains(key);
        if (!news || (tokens > 0 && !core.sharedKeys().contains(key))) {
            return;
        }
        core.log().keptCorrected(tokens > 0);
        core.placed(new CachedPartUpdate(target.load().target().life(), key, tokens));
        if (tokens > 0) {
            memory.put(key, tokens, core.keptCapacity(target.load()));
        } else {
            memory.evict(key);
        }
    }
}
