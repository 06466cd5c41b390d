package org.martenwell.gateway;

import io.activej.promise.Promise;
import java.util.HashMap;
import java.util.Map;
import org.martenwell.service.ManagedService;

/**
 * Follows what engines keep of prompts. Each engine is followed by one gateway, which tells the
 * others what it did not know already.
 */
final class KeptPartsFollower implements ManagedService {

    /** How often it is looked which engines to follow, in milliseconds. */
    private static final long LOOK_MILLIS = 700;

    /** What all requests share. */
    private final GatewayCore core;

    /** Tells which engines this gateway looks after. */
    private final LivePeers live;

    /** The engines that are followed, by id. */
    private final Map<String, CacheChangePoller> followed = new HashMap<>();

    /** Whether nothing is followed any more. */
    private boolean stopped;

    /**
     * Creates a follower.
     *
     * @param core What all requests share.
     * @param live Tells which engines this gateway looks after.
     */
    KeptPartsFollower(GatewayCore core, LivePeers live) {
        this.core = core;
        this.live = live;
    }

    @Override
    public Promise<Void> start() {
        lookLater();
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        stopped = true;
        followed.values().forEach(CacheChangePoller::close);
        followed.clear();
        return Promise.complete();
    }

    /** Looks after a while which engines to follow. */
    private void lookLater() {
        core.reactor().delayBackground(LOOK_MILLIS, this::look);
    }

    /** Begins and ends following engines. */
    private void look() {
        if (stopped) {
            return;
        }
        Map<String, KnownTarget> due = new HashMap<>();
        for (KnownTarget each : core.targets().all()) {
            String id = each.load().target().id();
            if (core.keptCapacity(each.load()) > 0 && live.looksAfter(id, core.now())) {
                due.put(id, each);
            }
        }
        followed.entrySet().removeIf(each -> ended(each.getKey(), each.getValue(), due));
        due.forEach(
                (id, target) ->
                        followed.computeIfAbsent(id, key -> CacheChangePoller.open(core, target)));
        lookLater();
    }

    /**
     * Ends following an engine that is no longer due or has started again: its changes are then
     * numbered anew.
     *
     * @param id The engine's id.
     * @param engine The engine.
     * @param due The engines to follow.
     * @return {@code true} if it is no longer followed.
     */
    private static boolean ended(
            String id, CacheChangePoller engine, Map<String, KnownTarget> due) {
        if (due.containsKey(id) && engine.follows(due.get(id))) {
            return false;
        }
        engine.close();
        return true;
    }
}
