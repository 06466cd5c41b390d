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
import org.martenwell.http.HttpCalls;
import org.martenwell.json.Json;
import org.martenwell.objects.Box;
import org.martenwell.objects.BoxRole;
import org.martenwell.objects.BoxState;
import org.martenwell.objects.HttpPlatform;
import org.martenwell.peer.PeerTraffic;
import org.martenwell.router.ConfigurationStore;
import org.martenwell.router.RouterStatus;
import org.martenwell.schedule.SchedulingParameters;
import org.martenwell.service.LoopThread;
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
 * A whole site on loopback: a stand-in platform, stand-in targets and routers, each router with a
 * loop of its own.
 */
public final class DemoFleet {

    /** The operators' token. */
    public static final String TOKEN = "demo-operators-token";

    /** The key that peers share. */
    private static final String PEER_KEY = "demo-peer-key-demo-peer-key-demo-peer-key";

    /** How many targets share a loop. */
    private static final int TARGETS_PER_LOOP = 4;

    /** The longest wait for the routers to be ready, in milliseconds. */
    private static final long READY_MILLIS = 15_000;

    /** The site. */
    private final DemoSite site;

    /** The loops, all to be stopped. */
    private final List<LoopThread> loops = new ArrayList<>();

    /** The platform's loop. */
    private final LoopThread platformLoop;

    /** The platform. */
    private final StandinPlatform platform;

    /** The targets. */
    private final List<StandinTarget> targets = new ArrayList<>();

    /** The loops of the targets, in their order. */
    private final List<LoopThread> targetLoops = new ArrayList<>();

    /** The routers. */
    private final List<RouterDaemon> routers = new ArrayList<>();

    /** The loops of the routers, in their order. */
    private final List<LoopThread> routerLoops = new ArrayList<>();

    /** The settings of the routers. */
    private final List<RouterSettings> routerSettings;

    /** The settings of the targets. */
    private final List<TargetSettings> targetSettings;

    /** The platform's address. */
    private final String platformAddress;

    /**
     * Creates a fleet that does not run yet.
     *
     * @param site The site.
     * @param routerCount How many routers.
     */
    private DemoFleet(DemoSite site, int routerCount) {
        this.site = site;
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
     * Starts a fleet and waits until every router is ready.
     *
     * @param site The site.
     * @param routerCount How many routers.
     * @return The running fleet.
     */
    public static DemoFleet start(DemoSite site, int routerCount) {
        DemoFleet fleet = new DemoFleet(site, routerCount);
        fleet.start();
        return fleet;
    }

    /** Stops all loops. */
    public void stop() {
        loops.forEach(LoopThread::stop);
    }

    /**
     * Returns the callers' addresses of the routers.
     *
     * @return The addresses.
     */
    public List<String> callerAddresses() {
        return routerSettings.stream().map(RouterSettings::callerAddress).toList();
    }

    /**
     * Returns the settings of the routers.
     *
     * @return The settings.
     */
    public List<RouterSettings> routerSettings() {
        return routerSettings;
    }

    /**
     * Returns what the engines and plain services ran.
     *
     * @return A record for each request at each target.
     */
    public List<RunRecord> runs() {
        List<RunRecord> runs = new ArrayList<>();
        for (int index = 0; index < targets.size(); index++) {
            runs.addAll(runsAt(index));
        }
        return runs;
    }

    /**
     * Returns what one target ran.
     *
     * @param index The target's index, model replicas first.
     * @return A record for each request.
     */
    public List<RunRecord> runsAt(int index) {
        StandinTarget target = targets.get(index);
        return targetLoops.get(index).call(() -> Promise.of(target.records()));
    }

    /**
     * Changes how a target misbehaves.
     *
     * @param index The target's index, model replicas first.
     * @param faults The faults.
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
     * Changes how the platform misbehaves.
     *
     * @param faults The faults.
     */
    public void faults(PlatformFaults faults) {
        platformLoop.call(
                () -> {
                    platform.faults(faults);
                    return Promise.complete();
                });
    }

    /**
     * Stops a router at once, as if its box failed.
     *
     * @param index The router's index.
     */
    public void kill(int index) {
        RouterDaemon router = routers.get(index);
        routerLoops.get(index).call(router::stop);
    }

    /**
     * Freezes a router's loop for a while, as if its box had stopped and gone on.
     *
     * @param index The router's index.
     * @param millis How long, in milliseconds.
     */
    public void pause(int index, long millis) {
        routerLoops.get(index).loop().execute(() -> sleep(millis));
    }

    /**
     * Starts a router again after {@link #kill}, without memory of its past.
     *
     * @param index The router's index.
     */
    public void restart(int index) {
        RouterSettings settings = routerSettings.get(index);
        LoopThread loop = routerLoops.get(index);
        RouterDaemon router = create(settings, loop);
        loop.call(router::start);
        routers.set(index, router);
    }

    /**
     * Returns what operators see of a router.
     *
     * @param index The router's index.
     * @return The status.
     */
    public RouterStatus status(int index) {
        RouterDaemon router = routers.get(index);
        return routerLoops.get(index).call(() -> Promise.of(router.status()));
    }

    /**
     * Reads the present numbers of the whole fleet.
     *
     * @return The numbers.
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
                    .forEach((kind, sent) -> bytesByType.merge(kind, sent, Long::sum));
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
        long calls = platformLoop.call(() -> Promise.of(platform.counts())).total();
        return new FleetSample(
                System.currentTimeMillis(), bytes, bytesByType, produced, possible, calls);
    }

    /** Starts all parts. */
    private void start() {
        platformLoop.call(platform::start);
        LoopThread shared = null;
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

    /**
     * Starts a router in a loop of its own.
     *
     * @param settings Its settings.
     */
    private void startRouter(RouterSettings settings) {
        LoopThread loop = startLoop(settings.name());
        RouterDaemon router = create(settings, loop);
        loop.call(router::start);
        routers.add(router);
        routerLoops.add(loop);
    }

    /**
     * Creates a router that does not run yet.
     *
     * @param settings Its settings.
     * @param loop Its loop.
     * @return The router.
     */
    private static RouterDaemon create(RouterSettings settings, LoopThread loop) {
        return loop.call(
                () ->
                        Promise.of(
                                new RouterDaemon(
                                        loop.loop(),
                                        settings,
                                        SchedulingParameters.DEFAULTS,
                                        settings.name().hashCode())));
    }

    /** Writes the configuration to the platform. */
    private void writeConfiguration() {
        String text = Json.print(site.configuration(targetSettings));
        platformLoop.call(
                () -> {
                    HttpCalls calls = HttpCalls.pooled(platformLoop.loop(), 1 << 20);
                    return new HttpPlatform(calls, platformAddress)
                            .create(
                                    ConfigurationStore.KIND,
                                    ConfigurationStore.NAME,
                                    text.getBytes(StandardCharsets.UTF_8))
                            .toVoid();
                });
    }

    /** Waits until every router is ready and knows all others. */
    private void awaitReady() {
        long deadline = System.currentTimeMillis() + READY_MILLIS;
        while (System.currentTimeMillis() < deadline) {
            boolean all = true;
            for (int index = 0; index < routers.size(); index++) {
                RouterStatus status = status(index);
                all = all && status.ready() && status.members().size() == routers.size() - 1;
            }
            if (all) {
                return;
            }
            sleep(50);
        }
        throw MartenwellException.of(ErrorKind.NOT_READY, "The routers did not become ready.");
    }

    /**
     * Waits.
     *
     * @param millis How long, in milliseconds.
     */
    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Starts a loop that {@link #stop} stops.
     *
     * @param name The thread's name.
     * @return The loop.
     */
    private LoopThread startLoop(String name) {
        LoopThread loop = LoopThread.start(name);
        loops.add(loop);
        return loop;
    }

    /**
     * Builds a router's settings.
     *
     * @param index The router's index.
     * @param ports Its addresses for callers, operators and peers.
     * @return The settings.
     */
    private RouterSettings settings(int index, List<String> ports) {
        RouterLimits limits =
                new RouterLimits(4 << 20, 20_000, 10_000, 64L << 20, 30_000, 60_000, 0);
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

    /**
     * Builds the platform's list of boxes.
     *
     * @return The boxes.
     */
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
