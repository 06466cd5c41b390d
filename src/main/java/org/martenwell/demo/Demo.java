package org.martenwell.demo;

import io.activej.promise.Promise;
import java.io.PrintStream;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;
import org.martenwell.service.EventLoopThread;
import org.martenwell.standin.LoadGenerator;
import org.martenwell.standin.LoadSettings;
import org.martenwell.standin.LoadSummary;
import org.martenwell.standin.LoadTotals;

/**
 * Runs a complete site on loopback under uneven load and measures fairness, utilisation and
 * latency.
 */
public final class Demo {

    /** The time before the measurement starts. */
    private static final double WARM_UP_SECONDS = 3;

    /** The interval at which delivered tokens are sampled. */
    private static final long SAMPLE_INTERVAL_MILLIS = 500;

    /** The number of samples between two lines of progress. */
    private static final int SAMPLES_PER_PROGRESS_LINE = 10;

    private final int routerCount;

    private final double seconds;

    private final PrintStream out;

    /** The largest gap between backlogged organisations, in tokens. */
    private long largestGap;

    /**
     * Creates a demonstration.
     *
     * @param routerCount The number of routers.
     * @param seconds The duration of the measurement, in seconds.
     * @param out Receives addresses and progress as text.
     */
    public Demo(int routerCount, double seconds, PrintStream out) {
        this.routerCount = routerCount;
        this.seconds = seconds;
        this.out = out;
    }

    /**
     * Runs the demonstration and blocks until its end.
     *
     * @return The measurements.
     */
    public DemoSummary run() {
        DemoFleet fleet = DemoFleet.start(DemoSite.coldChain(), routerCount);
        EventLoopThread loadLoop = EventLoopThread.start("load");
        try {
            printAddresses(fleet);
            LoadSettings settings =
                    new LoadSettings(
                            1, seconds, WARM_UP_SECONDS, DemoSite.load(fleet.callerAddresses()));
            LoadGenerator generator =
                    loadLoop.call(() -> Promise.of(new LoadGenerator(loadLoop.loop(), settings)));
            CompletableFuture<Void> sent =
                    loadLoop.loop().submit(callback -> generator.run().subscribe(callback));
            DemoFleet.sleep((long) (WARM_UP_SECONDS * 1000));
            FleetSample before = fleet.sample();
            sampleUntilEnd(loadLoop, generator);
            FleetSample after = fleet.sample();
            sent.join();
            return summarize(before, after, generator);
        } finally {
            loadLoop.stop();
            fleet.stop();
        }
    }

    /** Prints the routers' addresses and an API key for requests by hand. */
    private void printAddresses(DemoFleet fleet) {
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

    /** Samples the delivered tokens and prints progress until the load ends. */
    private void sampleUntilEnd(EventLoopThread loadLoop, LoadGenerator generator) {
        long end = System.currentTimeMillis() + (long) (seconds * 1000);
        for (int sample = 1; System.currentTimeMillis() < end; sample++) {
            DemoFleet.sleep(
                    Math.min(
                            SAMPLE_INTERVAL_MILLIS, Math.max(1, end - System.currentTimeMillis())));
            Map<String, Long> tokens = loadLoop.call(() -> Promise.of(generator.delivered()));
            long gap = fairnessGap(tokens);
            largestGap = Math.max(largestGap, gap);
            if (sample % SAMPLES_PER_PROGRESS_LINE == 0) {
                long sum = tokens.values().stream().mapToLong(Long::longValue).sum();
                out.printf(
                        "%4.0f s  %8d tokens delivered, gap %d%n",
                        sample * SAMPLE_INTERVAL_MILLIS / 1000.0, sum, gap);
                out.flush();
            }
        }
    }

    /** Returns the largest difference in tokens between two backlogged organisations. */
    private static long fairnessGap(Map<String, Long> tokens) {
        List<Long> values = DemoSite.backlogged().stream().map(tokens::get).sorted().toList();
        return values.get(values.size() - 1) - values.get(0);
    }

    private DemoSummary summarize(FleetSample before, FleetSample after, LoadGenerator generator) {
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
                difference(before.peerBytesByType(), after.peerBytesByType()),
                (after.platformCalls() - before.platformCalls()) / elapsed,
                percentiles(
                        totals.entrySet().stream()
                                .filter(each -> !DemoSite.backlogged().contains(each.getKey()))
                                .map(Map.Entry::getValue)
                                .toList()),
                percentiles(DemoSite.backlogged().stream().map(totals::get).toList()),
                new TreeMap<>(generator.delivered()));
    }

    private static Map<String, Long> difference(Map<String, Long> before, Map<String, Long> after) {
        Map<String, Long> difference = new TreeMap<>();
        after.forEach((key, count) -> difference.put(key, count - before.getOrDefault(key, 0L)));
        return difference;
    }

    /** Returns the percentiles of the time to first token, in milliseconds. */
    private static Map<String, Long> percentiles(Collection<LoadTotals> totals) {
        Histogram all = new Histogram(3);
        totals.forEach(each -> all.add(each.firstTokenMicros()));
        Map<String, Long> percentiles = LoadSummary.percentiles(all);
        percentiles.replaceAll((name, micros) -> micros / 1_000);
        return percentiles;
    }
}
