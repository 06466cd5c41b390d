package org.martenwell.demo;

import io.activej.promise.Promise;
import java.io.PrintStream;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;
import org.martenwell.service.LoopThread;
import org.martenwell.standin.LoadGenerator;
import org.martenwell.standin.LoadSettings;
import org.martenwell.standin.LoadSummary;
import org.martenwell.standin.LoadTotals;

/** Runs a site on loopback under uneven load and measures it. */
public final class Demo {

    /** How long load is sent before anything is counted, in seconds. */
    private static final double WARM_UP_SECONDS = 3;

    /** How often the numbers are looked at, in milliseconds. */
    private static final long LOOK_MILLIS = 500;

    /** Every how many looks progress is shown. */
    private static final int SHOW_EVERY = 10;

    /** How many routers. */
    private final int routerCount;

    /** How long to measure, in seconds. */
    private final double seconds;

    /** Receives progress. */
    private final PrintStream out;

    /** The largest gap seen, in tokens. */
    private long largestGap;

    /**
     * Creates a demonstration.
     *
     * @param routerCount How many routers.
     * @param seconds How long to measure, in seconds.
     * @param out Receives progress.
     */
    public Demo(int routerCount, double seconds, PrintStream out) {
        this.routerCount = routerCount;
        this.seconds = seconds;
        this.out = out;
    }

    /**
     * Runs the demonstration.
     *
     * @return What was measured.
     */
    public DemoSummary run() {
        DemoFleet fleet = DemoFleet.start(DemoSite.coldChain(), routerCount);
        LoopThread loadLoop = LoopThread.start("load");
        try {
            greet(fleet);
            LoadSettings settings =
                    new LoadSettings(
                            1, seconds, WARM_UP_SECONDS, DemoSite.load(fleet.callerAddresses()));
            LoadGenerator generator =
                    loadLoop.call(() -> Promise.of(new LoadGenerator(loadLoop.loop(), settings)));
            CompletableFuture<Void> sent =
                    loadLoop.loop().submit(callback -> generator.run().subscribe(callback));
            DemoFleet.sleep((long) (WARM_UP_SECONDS * 1000));
            FleetSample before = fleet.sample();
            watch(loadLoop, generator);
            FleetSample after = fleet.sample();
            sent.join();
            return summary(before, after, generator);
        } finally {
            loadLoop.stop();
            fleet.stop();
        }
    }

    /** Prints where to call. */
    private void greet(DemoFleet fleet) {
        for (var settings : fleet.routerSettings()) {
            out.printf(
                    "%s in %s: callers http://%s, operators http://%s%n",
                    settings.name(),
                    settings.failureDomain(),
                    settings.callerAddress(),
                    settings.operatorAddress());
        }
        out.printf(
                "organisation clinic-0 has the key %s and asks the model %s%n",
                DemoSite.key("clinic-0"), DemoSite.MODEL);
        out.flush();
    }

    /** Looks at the numbers until the load ends. */
    private void watch(LoopThread loadLoop, LoadGenerator generator) {
        long end = System.currentTimeMillis() + (long) (seconds * 1000);
        for (int look = 1; System.currentTimeMillis() < end; look++) {
            DemoFleet.sleep(Math.min(LOOK_MILLIS, Math.max(1, end - System.currentTimeMillis())));
            Map<String, Long> tokens = loadLoop.call(() -> Promise.of(generator.delivered()));
            long gap = gap(tokens);
            largestGap = Math.max(largestGap, gap);
            if (look % SHOW_EVERY == 0) {
                long sum = tokens.values().stream().mapToLong(Long::longValue).sum();
                out.printf(
                        "%4.0f s  %8d tokens delivered, gap %d%n",
                        look * LOOK_MILLIS / 1000.0, sum, gap);
                out.flush();
            }
        }
    }

    /** Returns the gap between the organisations that always have work waiting. */
    private static long gap(Map<String, Long> tokens) {
        List<Long> values = DemoSite.backlogged().stream().map(tokens::get).sorted().toList();
        return values.get(values.size() - 1) - values.get(0);
    }

    /** Sums up. */
    private DemoSummary summary(FleetSample before, FleetSample after, LoadGenerator generator) {
        Map<String, LoadTotals> totals = generator.totals();
        double elapsed = (after.atMillis() - before.atMillis()) / 1000.0;
        Map<String, Long> refusals = new TreeMap<>();
        for (LoadTotals each : totals.values()) {
            each.refusals().forEach((code, count) -> refusals.merge(code, count, Long::sum));
        }
        return new DemoSummary(
                routerCount,
                elapsed,
                totals.values().stream().mapToLong(LoadTotals::requests).sum(),
                totals.values().stream().mapToLong(LoadTotals::complete).sum(),
                totals.values().stream().mapToLong(LoadTotals::wrongAnswers).sum(),
                refusals,
                (after.produced() - before.produced())
                        / (double) (after.possible() - before.possible()),
                largestGap,
                (after.peerBytes() - before.peerBytes()) / elapsed / routerCount,
                difference(before.peerBytesByKind(), after.peerBytesByKind()),
                (after.platformCalls() - before.platformCalls()) / elapsed,
                percentiles(
                        totals.entrySet().stream()
                                .filter(each -> !DemoSite.backlogged().contains(each.getKey()))
                                .map(Map.Entry::getValue)
                                .toList()),
                percentiles(DemoSite.backlogged().stream().map(totals::get).toList()),
                new TreeMap<>(generator.delivered()));
    }

    /** Subtracts counts. */
    private static Map<String, Long> difference(Map<String, Long> before, Map<String, Long> after) {
        Map<String, Long> difference = new TreeMap<>();
        after.forEach((key, count) -> difference.put(key, count - before.getOrDefault(key, 0L)));
        return difference;
    }

    /** Sums up times to the first token. */
    private static Map<String, Long> percentiles(Collection<LoadTotals> totals) {
        Histogram all = new Histogram(3);
        totals.forEach(each -> all.add(each.firstTokenMicros()));
        Map<String, Long> percentiles = LoadSummary.percentiles(all);
        percentiles.replaceAll((name, micros) -> micros / 1_000);
        return percentiles;
    }
}
