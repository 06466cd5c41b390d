package org.martenwell.demo;

import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.martenwell.daemon.RouterDaemon;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.http.AsyncHttpClient;
import org.martenwell.json.Json;
import org.martenwell.objects.Box;
import org.martenwell.objects.BoxRole;
import org.martenwell.objects.BoxState;
import org.martenwell.objects.HttpPlatform;
import org.martenwell.peer.PeerTraffic;
import org.martenwell.router.ConfigurationStore;
import org.martenwell.router.RouterStatus;
import org.martenwell.schedule.SchedulingParameters;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.LoopbackPorts;
import org.martenwell.settings.RouterLimits;
import org.martenwell.settings.RouterSettings;
import org.martenwell.standin.PlatformFaults;
import org.martenwell.standin.PlatformSettings;
import org.martenwell.standin.RunRecord;
import org.martenwell.standin.StandinPlatform;
import org.martenwell.standin.StandinTarget;
import org.martenwell.standin.TargetFaults;
import org.martenwell.standin.TargetSettings;

/**
 * A complete site on loopback: the platform stand-in, target stand-ins and routers, each router on
 * its own event loop.
 */
public final class DemoFleet {

    /** The token for operator requests. */
    public static final String TOKEN = "demo-operators-token";

    private static final String PEER_KEY = "demo-peer-key-demo-peer-key-demo-peer-key";

    private static final int TARGETS_PER_LOOP = 4;

    private static final long READY_TIMEOUT_MILLIS = 15_000;

    private final DemoSite site;

    /** All event loops, to be stopped at the end. */
    private final List<EventLoopThread> loops = new ArrayList<>();

    private final EventLoopThread platformLoop;

    private final StandinPlatform platform;

    private final List<StandinTarget> targets = new ArrayList<>();

    /** The event loops of the targets, by index. */
    private final List<EventLoopThread> targetLoops = new ArrayList<>();

    private final List<RouterDaemon> routers = new ArrayList<>();

    /** The event loops of the routers, by index. */
    private final List<EventLoopThread> routerLoops = new ArrayList<>();

    private final List<RouterSettings> routerSettings;

    private final List<TargetSettings> targetSettings;

    private final String platformAddress;

    /** The time that a drain waits for requests to finish, in milliseconds. */
    private final long drainMillis;

    private DemoFleet(DemoSite site, int routerCount, long drainMillis) {
        this.site = site;
        this.drainMillis = drainMillis;
        int targetCount = DemoSite.REPLICAS + DemoSite.APPLICATIONS;
        List<String> ports = LoopbackPorts.free(1 + targetCount + 3 * routerCount);
        platformAddress = ports.get(0);
        targetSettings = site.targets(ports.subList(1, 1 + targetCount));
        routerSettings = new ArrayList<>();
        for (int index = 0; index < routerCount; index++) {
            int first = 1 + targetCount + 3 * index;
            routerSettings.add(settings(index, ports.subList(first, first + 3)));
        }
        platformLoop = startLoop("platform");
        platform =
                new StandinPlatform(
                        platformLoop.loop(), new PlatformSettings(platformAddress, 1_000, boxes()));
    }

    /**
     * Starts a fleet and waits until every router is ready. Throws {@link ErrorKind#NOT_READY} on a
     * timeout.
     *
     * @param site The configuration of the site.
     * @param routerCount The number of routers.
     * @return The running fleet.
     */
    public static DemoFleet start(DemoSite site, int routerCount) {
        return start(site, routerCount, RouterLimits.DEFAULTS.drainMillis());
    }

    /**
     * Starts a fleet whose drains have a limit, and waits until every router is ready. Throws
     * {@link ErrorKind#NOT_READY} on a timeout.
     *
     * @param site The configuration of the site.
     * @param routerCount The number of routers.
     * @param drainMillis The time that a drain waits for requests to finish, in milliseconds.
     * @return The running fleet.
     */
    public static DemoFleet start(DemoSite site, int routerCount, long drainMillis) {
        DemoFleet fleet = new DemoFleet(site, routerCount, drainMillis);
        fleet.start();
        return fleet;
    }

    /** Stops all event loops. */
    public void stop() {
        loops.forEach(EventLoopThread::stop);
    }

    /** {@return the addresses of the routers for callers, by index} */
    public List<String> callerAddresses() {
        return routerSettings.stream().map(RouterSettings::callerAddress).toList();
    }

    /** {@return the settings of the routers, by index} */
    public List<RouterSettings> routerSettings() {
        return routerSettings;
    }

    /** {@return a record for each request at each target} */
    public List<RunRecord> runs() {
        List<RunRecord> runs = new ArrayList<>();
        for (int index = 0; index < targets.size(); index++) {
            runs.addAll(runsAt(index));
        }
        return runs;
    }

    /**
     * Returns the requests that a target ran.
     *
     * @param index The index of the target, model replicas first.
     * @return A record for each request.
     */
    public List<RunRecord> runsAt(int index) {
        StandinTarget target = targets.get(index);
        return targetLoops.get(index).call(() -> Promise.of(target.records()));
    }

    /**
     * Sets the faults that a target injects.
     *
     * @param index The index of the target, model replicas first.
     * @param faults The faults, replacing earlier ones.
     */
    public void faults(int index, TargetFaults faults) {
        StandinTarget target = targets.get(index);
        targetLoops
                .get(index)
                .call(
                        () -> {
                            target.faults(faults);
                            return Promise.complete();
                        });
    }

    /**
     * Sets the faults that the platform injects.
     *
     * @param faults The faults, replacing earlier ones.
     */
    public void faults(PlatformFaults faults) {
        platformLoop.call(
                () -> {
                    platform.faults(faults);
                    return Promise.complete();
                });
    }

    /**
     * Stops a router without draining it, as if its box failed.
     *
     * @param index The index of the router.
     */
    public void kill(int index) {
        RouterDaemon router = routers.get(index);
        routerLoops.get(index).call(router::stop);
    }

    /**
     * Blocks the event loop of a router, as if its box were suspended and resumed.
     *
     * @param index The index of the router.
     * @param millis The duration, in milliseconds.
     */
    public void pause(int index, long millis) {
        routerLoops.get(index).loop().execute(() -> sleep(millis));
    }

    /**
     * Starts a new router in place of one stopped by {@link #kill}, without its state.
     *
     * @param index The index of the router.
     */
    public void restart(int index) {
        RouterSettings settings = routerSettings.get(index);
        EventLoopThread loop = routerLoops.get(index);
        RouterDaemon router = createRouter(settings, loop);
        loop.call(router::start);
        routers.set(index, router);
    }

    /**
     * Returns the status of a router as shown to operators.
     *
     * @param index The index of the router.
     * @return The status.
     */
    public RouterStatus status(int index) {
        RouterDaemon router = routers.get(index);
        return routerLoops.get(index).call(() -> Promise.of(router.status()));
    }

    /**
     * Reads the current counters of the fleet.
     *
     * @return The counters.
     */
    public FleetSample sample() {
        long bytes = 0;
        Map<String, Long> bytesByType = new TreeMap<>();
        for (int index = 0; index < routers.size(); index++) {
            RouterDaemon router = routers.get(index);
            PeerTraffic traffic = router.traffic();
            bytes += routerLoops.get(index).call(() -> Promise.of(traffic.bytesSent()));
            routerLoops
                    .get(index)
                    .call(() -> Promise.of(traffic.bytesByType()))
                    .forEach((type, sent) -> bytesByType.merge(type, sent, Long::sum));
        }
        long produced = 0;
        long possible = 0;
        for (int index = 0; index < targets.size(); index++) {
            StandinTarget target = targets.get(index);
            var use = targetLoops.get(index).call(() -> Promise.of(target.use()));
            boolean model = index < DemoSite.REPLICAS;
            produced += model ? use.produced() : 0;
            possible += model ? use.possible() : 0;
        }
        long platformCalls = platformLoop.call(() -> Promise.of(platform.counts())).total();
        return new FleetSample(
                System.currentTimeMillis(), bytes, bytesByType, produced, possible, platformCalls);
    }

    private void start() {
        platformLoop.call(platform::start);
        EventLoopThread shared = null;
        for (int index = 0; index < targetSettings.size(); index++) {
            if (index % TARGETS_PER_LOOP == 0) {
                shared = startLoop("targets-" + index / TARGETS_PER_LOOP);
            }
            StandinTarget target = new StandinTarget(shared.loop(), targetSettings.get(index));
            shared.call(target::start);
            targets.add(target);
            targetLoops.add(shared);
        }
        writeConfiguration();
        for (RouterSettings settings : routerSettings) {
            startRouter(settings);
        }
        awaitReady();
    }

    /** Starts a router on its own event loop. */
    private void startRouter(RouterSettings settings) {
        EventLoopThread loop = startLoop(settings.name());
        RouterDaemon router = createRouter(settings, loop);
        loop.call(router::start);
        routers.add(router);
        routerLoops.add(loop);
    }

    private static RouterDaemon createRouter(RouterSettings settings, EventLoopThread loop) {
        return loop.call(
                () ->
                        Promise.of(
                                new RouterDaemon(
                                        loop.loop(),
                                        settings,
                                        SchedulingParameters.DEFAULTS,
                                        settings.name().hashCode())));
    }

    private void writeConfiguration() {
        String text = Json.print(site.configuration(targetSettings));
        platformLoop.call(
                () -> {
                    AsyncHttpClient client =
                            AsyncHttpClient.pooled(
                                    platformLoop.loop(),
                                    platformLoop.loop()::currentTimeMillis,
                                    1 << 20);
                    return new HttpPlatform(client, platformAddress)
                            .create(
                                    ConfigurationStore.KIND,
                                    ConfigurationStore.NAME,
                                    text.getBytes(StandardCharsets.UTF_8))
                            .toVoid();
                });
    }

    /** Waits until every router is ready and has all others as members. */
    private void awaitReady() {
        long deadline = System.currentTimeMillis() + READY_TIMEOUT_MILLIS;
        while (System.currentTimeMillis() < deadline) {
            boolean allReady = true;
            for (int index = 0; index < routers.size(); index++) {
                RouterStatus status = status(index);
                allReady =
                        allReady && status.ready() && status.members().size() == routers.size() - 1;
            }
            if (allReady) {
                return;
            }
            sleep(50);
        }
        throw MartenwellException.of(
                ErrorKind.NOT_READY, "The routers did not become ready in time.");
    }

    /**
     * Blocks the current thread.
     *
     * @param millis The duration, in milliseconds.
     */
    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Starts an event loop that {@link #stop} stops. */
    private EventLoopThread startLoop(String name) {
        EventLoopThread loop = EventLoopThread.start(name);
        loops.add(loop);
        return loop;
    }

    private RouterSettings settings(int index, List<String> ports) {
        RouterLimits limits =
                new RouterLimits(4 << 20, 20_000, 10_000, 64L << 20, 30_000, drainMillis, 0);
        return new RouterSettings(
                "router-" + index,
                DemoSite.DOMAINS.get(index % DemoSite.DOMAINS.size()),
                ports.get(0),
                ports.get(1),
                ports.get(2),
                platformAddress,
                TOKEN,
                PEER_KEY,
                Optional.empty(),
                Optional.of(limits));
    }

    private List<Box> boxes() {
        List<Box> boxes = new ArrayList<>();
        for (RouterSettings settings : routerSettings) {
            boxes.add(
                    new Box(
                            settings.name(),
                            BoxRole.ROUTER,
                            settings.peerAddress(),
                            settings.failureDomain(),
                            BoxState.LIVE));
        }
        for (var target : site.configuration(targetSettings).targets()) {
            boxes.add(
                    new Box(
                            target.name(),
                            BoxRole.TARGET,
                            target.address(),
                            target.failureDomain(),
                            BoxState.LIVE));
        }
        return boxes;
    }
}
