package org.martenwell.schedule;

import java.util.Arrays;
import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.LongStream;

/** Prints the tables of docs/design/scheduling.md. Run by {@code mvn -Pmeasure}. */
final class TrialMain {

    private static final long SEEDS = 8;
    private static final List<Long> HORIZONS = List.of(2_000L);
    private static final List<Long> AGES = List.of(500L, 1_000L);

    private TrialMain() {}

    /** Runs all trials. */
    public static void main(String[] arguments) {
        tables("cold chain", TrialSite.coldChain());
        tables("food aid", TrialSite.foodAid());
    }

    private static void tables(String name, TrialSite site) {
        System.out.println("## " + name + ": largest gap in tokens, median of " + SEEDS);
        row("router-local fair", site, seed -> new LocalTrialScheduler(site, true));
        row("first come first served", site, seed -> new LocalTrialScheduler(site, false));
        for (long horizon : HORIZONS) {
            SchedulingParameters parameters =
                    SchedulingParameters.DEFAULTS.withHorizonMillis(horizon);
            row(
                    "central, horizon " + horizon,
                    site,
                    seed -> new CentralTrialScheduler(site, parameters));
            for (long age : AGES) {
                TrialNetwork network = TrialNetwork.SOUND.withCountersMillis(age);
                for (boolean atOnce : new boolean[] {false, true}) {
                    row(
                            "fleet, horizon "
                                    + horizon
                                    + ", counters "
                                    + age
                                    + ", at once "
                                    + atOnce,
                            site,
                            seed ->
                                    new FleetTrialScheduler(
                                            site,
                                            network.withGrantsAtOnce(atOnce),
                                            parameters,
                                            seed));
                }
            }
        }
    }

    private static void row(String name, TrialSite site, LongFunction<TrialScheduler> schedulers) {
        TrialResult[] results =
                LongStream.rangeClosed(1, SEEDS)
                        .parallel()
                        .mapToObj(seed -> new Trial(site, schedulers.apply(seed), seed).run(10, 60))
                        .toArray(TrialResult[]::new);
        double[] gaps = Arrays.stream(results).mapToDouble(TrialResult::gap).sorted().toArray();
        System.out.printf(
                "%-52s median %9.0f  most %9.0f  least use %.4f  most over %d%n",
                name,
                gaps[gaps.length / 2],
                gaps[gaps.length - 1],
                Arrays.stream(results).mapToDouble(TrialResult::utilisation).min().orElse(0),
                Arrays.stream(results).mapToInt(TrialResult::overCommitted).max().orElse(0));
    }
}
