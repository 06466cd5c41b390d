package org.martenwell.gateway;

import java.util.Optional;
import org.martenwell.balance.CachedPartUpdate;
import org.martenwell.error.MartenwellException;
import org.martenwell.exchange.BufferedResponse;
import org.martenwell.exchange.InternalHttpClient;
import org.martenwell.prompt.CachedPart;
import org.martenwell.prompt.CachedPartChanges;
import org.martenwell.prompt.PromptCacheView;
import org.martenwell.prompt.PromptChain;
import org.martenwell.service.FailureBarrier;

/**
 * Long-polls one engine for changes of its prompt cache. Changes arrive late and some are lost, so
 * they correct the gateway's assumptions about the cache rather than replace them.
 */
final class CacheChangePoller {

    /**
     * The longest time that an engine may delay its response while nothing changes, in
     * milliseconds.
     */
    private static final long POLL_WAIT_MILLIS = 1_000;

    /** The time that a poll may take beyond {@link #POLL_WAIT_MILLIS}, in milliseconds. */
    private static final long EXTRA_TIMEOUT_MILLIS = 1_500;

    /** The delay between a response and the next poll, in milliseconds. */
    private static final long INTERVAL_MILLIS = 250;

    /** The delay between a failed poll and the next one, in milliseconds. */
    private static final long FAILURE_BACKOFF_MILLIS = 2_000;

    /** The shortest time between two log lines on unreadable responses, in milliseconds. */
    private static final long UNREADABLE_LOG_INTERVAL_MILLIS = 60_000;

    private static final int OK = 200;

    private final GatewayCore core;

    private final KnownTarget target;

    private final InternalHttpClient client;

    /** The position in the engine's log of changes to continue from. */
    private long since;

    /** The epoch of that position, empty before the first response. */
    private String epoch = "";

    /** The time of the last log line on an unreadable response, in milliseconds. */
    private long unreadableLoggedMillis = Long.MIN_VALUE;

    private boolean closed;

    private CacheChangePoller(GatewayCore core, KnownTarget target) {
        this.core = core;
        this.target = target;
        this.client = core.targets().createClient(target, core.clock()::millis);
    }

    /**
     * Starts polling an engine.
     *
     * @param core The state that all requests share.
     * @param target The engine.
     * @return The poller, which runs until {@link #close}.
     */
    static CacheChangePoller start(GatewayCore core, KnownTarget target) {
        CacheChangePoller poller = new CacheChangePoller(core, target);
        poller.poll();
        return poller;
    }

    /**
     * Returns whether a target is the incarnation that is polled.
     *
     * @param other The target.
     * @return {@code true} if both are the same process.
     */
    boolean follows(KnownTarget other) {
        return target.load().target().incarnation().equals(other.load().target().incarnation());
    }

    /** Stops polling and closes the connection. */
    void close() {
        closed = true;
        client.close();
    }

    /** Requests changes, or postpones the request while the engine is paused. */
    private void poll() {
        if (closed) {
            return;
        }
        long pauseMillis = target.load().availability().pauseMillis(core.now());
        if (pauseMillis > 0) {
            schedulePoll(pauseMillis);
            return;
        }
        String host = target.load().target().address().getHostString();
        client.call(
                        core.dialect().cacheChangesRequest(host, since, POLL_WAIT_MILLIS),
                        POLL_WAIT_MILLIS + EXTRA_TIMEOUT_MILLIS)
                .subscribe(
                        (response, failure) -> {
                            if (failure == null && response.status() == OK) {
                                process(response);
                            } else {
                                schedulePoll(FAILURE_BACKOFF_MILLIS);
                            }
                        });
    }

    /** Applies changes and schedules the next poll, also if that fails. */
    private void process(BufferedResponse response) {
        FailureBarrier.run(
                "CacheChangePoller",
                () -> {
                    Optional<CachedPartChanges> changes = read(response);
                    changes.ifPresent(this::applyChanges);
                    schedulePoll(changes.isPresent() ? INTERVAL_MILLIS : FAILURE_BACKOFF_MILLIS);
                },
                () -> schedulePoll(FAILURE_BACKOFF_MILLIS));
    }

    /** Reads a response, or returns empty if the engine sent something else. */
    private Optional<CachedPartChanges> read(BufferedResponse response) {
        try {
            return Optional.of(core.dialect().parseCacheChanges(response.body()));
        } catch (MartenwellException unreadable) {
            boolean logged =
                    unreadableLoggedMillis == Long.MIN_VALUE
                            || core.now() - unreadableLoggedMillis
                                    >= UNREADABLE_LOG_INTERVAL_MILLIS;
            if (logged) {
                unreadableLoggedMillis = core.now();
            }
            core.log()
                    .targets()
                    .cacheReportUnreadable(
                            target.load().target().incarnation(), unreadable.getMessage(), logged);
            return Optional.empty();
        }
    }

    private void schedulePoll(long delayMillis) {
        if (!closed) {
            core.reactor().delayBackground(delayMillis, this::poll);
        }
    }

    private void applyChanges(CachedPartChanges changes) {
        if (changes.outdated(since, epoch)) {
            // The response to this poll may follow on the same connection.
            client.closeIdle();
            core.log().targets().cacheReportOutdated();
            return;
        }
        since = changes.next();
        epoch = changes.epoch();
        changes.parts().forEach(this::applyChange);
        core.log().targets().cacheChangesReceived(changes.parts().size(), changes.lost());
    }

    /** Applies a change. Added parts that aren't known to be shared are ignored. */
    private void applyChange(CachedPart change) {
        long key = PromptChain.key(change.model(), change.part().id());
        long tokens = change.part().tokens();
        PromptCacheView promptCache = target.load().promptCache();
        boolean differs = tokens > 0 != promptCache.contains(key);
        if (!differs || (tokens > 0 && !core.sharedKeys().contains(key))) {
            return;
        }
        core.log().targets().cacheEntryCorrected(tokens > 0);
        core.queueCacheUpdate(
                new CachedPartUpdate(target.load().target().incarnation(), key, tokens));
        if (tokens > 0) {
            promptCache.put(key, tokens, core.promptCacheCapacity(target.load()));
        } else {
            promptCache.evict(key);
        }
    }
}
