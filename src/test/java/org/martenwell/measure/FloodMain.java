package org.martenwell.measure;

import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.HdrHistogram.Histogram;
import org.martenwell.demo.DemoFleet;
import org.martenwell.demo.DemoSite;
import org.martenwell.service.EventLoopThread;
import org.martenwell.standin.LoadGenerator;
import org.martenwell.standin.LoadSettings;
import org.martenwell.standin.LoadTotals;
import org.martenwell.standin.OrganisationLoad;

/**
 * Measures the effect of a load spike of one organisation on the time to first token of small ones.
 */
final class FloodMain {

    private static final int SECONDS = 20;
    private static final int FLOOD_CONCURRENCY = 400;

    private FloodMain() {}

    /** Runs the load once with normal and once with increased concurrency of one organisation. */
    public static void main(String[] arguments) {
        run("calm", 48);
        run("flood", FLOOD_CONCURRENCY);
    }

    private static void run(String name, int concurrency) {
        DemoFleet fleet = DemoFleet.start(DemoSite.coldChain(), 9);
        EventLoopThread loop = EventLoopThread.start("load");
        try {
            List<String> routers = fleet.callerAddresses();
            List<OrganisationLoad> loads = new ArrayList<>();
            loads.add(load("district-east", routers.subList(0, 1), 48, 0));
            loads.add(load("district-west", routers.subList(3, 6), 48, 0));
            loads.add(load("vaccine-store", routers.subList(6, 9), concurrency, 0));
            for (int index = 0; index < 7; index++) {
                loads.add(load("clinic-" + index, routers, 0, 1));
            }
            LoadSettings settings = new LoadSettings(7, SECONDS, 5, loads);
            LoadGenerator generator =
                    loop.call(() -> Promise.of(new LoadGenerator(loop.loop(), settings)));
            loop.call(generator::run);
            Histogram smallFirstTokens = new Histogram(3);
            generator
                    .totals()
                    .forEach(
                            (organisation, totals) -> {
                                if (organisation.startsWith("clinic")) {
                                    smallFirstTokens.add(totals.firstTokenMicros());
                                }
                            });
            LoadTotals flood = generator.totals().get("vaccine-store");
            System.out.printf(
                    "%s: small organisations, first token p50 %d p95 %d p99 %d us of %d;"
                            + " the large one sent %d, refused %s%n",
                    name,
                    smallFirstTokens.getValueAtPercentile(50),
                    smallFirstTokens.getValueAtPercentile(95),
                    smallFirstTokens.getValueAtPercentile(99),
                    smallFirstTokens.getTotalCount(),
                    flood.requests(),
                    flood.refusals());
        } finally {
            loop.stop();
            fleet.stop();
        }
    }

    private static OrganisationLoad load(
            String organisation, List<String> routers, int concurrency, double perSecond) {
        return new OrganisationLoad(
                organisation,
                DemoSite.key(organisation),
                routers,
                concurrency,
                perSecond,
                DemoSite.MODEL,
                Optional.empty(),
                200);
    }
}
