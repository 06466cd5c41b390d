package org.martenwell.gateway;

import io.activej.promise.Promise;
import java.util.HashMap;
import java.util.Map;
import org.martenwell.service.ManagedService;
import org.martenwell.service.PeriodicTask;

/**
 * Follows the changes of engines' prompt caches. Each engine is followed by one gateway, its owner,
 * which reports changes to its peers.
 */
final class CachedPartsFollower implements ManagedService {

    /** The interval at which the owned engines are determined, in milliseconds. */
    private static final long CHECK_INTERVAL_MILLIS = 700;

    private final GatewayCore core;

    /** Determines the engines that this gateway owns. */
    private final LivePeers livePeers;

    /** The followed engines by id. */
    private final Map<String, CacheChangePoller> followed = new HashMap<>();

    private final PeriodicTask checks;

    /**
     * Creates a follower without engines.
     *
     * @param core The gateway's state.
     * @param livePeers Determines the engines that this gateway owns.
     */
    CachedPartsFollower(GatewayCore core, LivePeers livePeers) {
        this.core = core;
        this.livePeers = livePeers;
        this.checks = new PeriodicTask(core.reactor(), CHECK_INTERVAL_MILLIS, this::check);
    }

    @Override
    public Promise<Void> start() {
        return checks.start();
    }

    @Override
    public Promise<Void> stop() {
        followed.values().forEach(CacheChangePoller::close);
        followed.clear();
        return checks.stop();
    }

    /** Starts following engines that this gateway now owns, and stops following others. */
    private void check() {
        Map<String, KnownTarget> owned = new HashMap<>();
        for (KnownTarget each : core.targets().all()) {
            String id = each.load().target().id();
            if (core.promptCacheCapacity(each.load()) > 0
                    && !core.targets().isEvacuated(each.load())
                    && livePeers.owns(id, core.now())) {
                owned.put(id, each);
            }
        }
        followed.entrySet()
                .removeIf(each -> closeUnlessOwned(each.getKey(), each.getValue(), owned));
        owned.forEach(
                (id, target) ->
                        followed.computeIfAbsent(id, key -> CacheChangePoller.start(core, target)));
    }

    /**
     * Stops following an engine that is no longer owned or has restarted, since a restart resets
     * the sequence numbers of its changes.
     *
     * @param id The engine's id.
     * @param engine The followed engine.
     * @param owned The engines that this gateway owns, by id.
     * @return {@code true} if it is no longer followed.
     */
    private static boolean closeUnlessOwned(
            String id, CacheChangePoller engine, Map<String, KnownTarget> owned) {
        if (owned.containsKey(id) && engine.follows(owned.get(id))) {
            return false;
        }
        engine.close();
        return true;
    }
}
