package org.martenwell.schedule;

import java.util.Arrays;
import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.LongStream;

/** Prints the tables of {@code docs/design/scheduling.md}. Run by {@code mvn -Pmeasure}. */
final class SimulationMain {

    private static final long SEEDS = 8;
    private static final List<Long> HORIZONS_MILLIS = List.of(2_000L);
    private static final List<Long> COUNTER_INTERVALS_MILLIS = List.of(500L, 1_000L);

    private SimulationMain() {}

    /** Runs all simulations. */
    public static void main(String[] arguments) {
        printTables("cold chain", SimulatedSite.coldChain());
        printTables("food aid", SimulatedSite.foodAid());
    }

    private static void printTables(String name, SimulatedSite site) {
        System.out.println("## " + name + ": largest gap in tokens, median of " + SEEDS);
        printRow("router-local fair", site, seed -> new IsolatedRouterScheduler(site, true));
        printRow("first come first served", site, seed -> new IsolatedRouterScheduler(site, false));
        for (long horizon : HORIZONS_MILLIS) {
            SchedulingParameters parameters =
                    SchedulingParameters.DEFAULTS.withHorizonMillis(horizon);
            printRow(
                    "central, horizon " + horizon,
                    site,
                    seed -> new CentralReferenceScheduler(site, parameters));
            for (long counterIntervalMillis : COUNTER_INTERVALS_MILLIS) {
                SimulatedNetwork network =
                        SimulatedNetwork.RELIABLE.withCounterIntervalMillis(counterIntervalMillis);
                for (boolean immediate : new boolean[] {false, true}) {
                    printRow(
                            "fleet, horizon "
                                    + horizon
                                    + ", counters "
                                    + counterIntervalMillis
                                    + ", at once "
                                    + immediate,
                            site,
                            seed ->
                                    new SimulatedFleet(
                                            site,
                                            network.withImmediateGrantReports(immediate),
                                            parameters,
                                            seed));
                }
            }
        }
    }

    private static void printRow(
            String name, SimulatedSite site, LongFunction<SimulatedScheduler> schedulers) {
        SimulationResult[] results =
                LongStream.rangeClosed(1, SEEDS)
                        .parallel()
                        .mapToObj(
                                seed ->
                                        new Simulation(site, schedulers.apply(seed), seed)
                                                .run(10, 60))
                        .toArray(SimulationResult[]::new);
        double[] gaps =
                Arrays.stream(results).mapToDouble(SimulationResult::gap).sorted().toArray();
        System.out.printf(
                "%-52s median %9.0f  most %9.0f  least use %.4f  most over %d%n",
                name,
                gaps[gaps.length / 2],
                gaps[gaps.length - 1],
                Arrays.stream(results).mapToDouble(SimulationResult::utilisation).min().orElse(0),
                Arrays.stream(results).mapToInt(SimulationResult::maxOvercommit).max().orElse(0));
    }
}
