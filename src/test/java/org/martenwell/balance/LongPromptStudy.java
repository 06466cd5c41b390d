package org.martenwell.balance;

import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** Prints what short prompts suffer behind long ones. */
final class LongPromptStudy {

    private static final List<Long> BOUNDS =
            List.of(1L, 1_000L, 2_000L, 5_000L, 10_000L, 20_000L, Long.MAX_VALUE);

    private static List<String> selected = List.of();

    private LongPromptStudy() {}

    /** Prints the results: load per engine, seeds, a way or "", and cases or none for all. */
    public static void main(String[] arguments) {
        double load = Double.parseDouble(arguments[0]);
        int seeds = Integer.parseInt(arguments[1]);
        selected =
                arguments.length > 3 ? List.of(arguments).subList(3, arguments.length) : List.of();
        String only = arguments.length > 2 ? arguments[2] : "";
        for (PlacementAlternative each : PlacementAlternative.values()) {
            if (only.isEmpty() || only.equals(each.name())) {
                print(each.name(), load, seeds, () -> each.rule(LongPromptScenarios::speed));
                print(
                        each.name() + " speeds",
                        load,
                        seeds,
                        () -> each.withSpeeds(LongPromptScenarios::speed));
            }
        }
    }

    private static void print(String name, double load, int seeds, Supplier<PlacementRule> rules) {
        LongPromptScenarios.cases(load)
                .forEach(
                        (title, each) -> {
                            if (!selected.isEmpty() && !selected.contains(title)) {
                                return;
                            }
                            KindResult all = new KindResult();
                            KindResult longs = new KindResult();
                            KindResult shorts = new KindResult();
                            for (int seed = 1; seed <= seeds; seed++) {
                                Map<String, KindResult> results =
                                        PlacementSimulation.simulate(
                                                each.scenario(seed), each.model(), rules);
                                results.values().forEach(all::add);
                                results.forEach(
                                        (kind, result) ->
                                                (kind.equals(LongPromptScenarios.LONG)
                                                                ? longs
                                                                : shorts)
                                                        .add(result));
                            }
                            System.out.printf(
                                    "%-28s %-10s short %5d behind %4d late %4d refused %4d p95 %4.0f"
                                            + " paused %4d | long %5d late %4d refused %4d p95 %4.0f"
                                            + " paused %4d | rejected %d waits %d idle %d%n",
                                    name,
                                    title,
                                    shorts.total(),
                                    shorts.lateBehindLong(),
                                    shorts.late(),
                                    shorts.refusedCount(),
                                    shorts.quantile(0.95),
                                    shorts.pausedCount(),
                                    longs.total(),
                                    longs.late(),
                                    longs.refusedCount(),
                                    longs.quantile(0.95),
                                    longs.pausedCount(),
                                    Math.round(all.rejectedShare() * all.total()),
                                    all.waits(),
                                    all.waitsBesideIdle());
                            if (name.equals("NONE")) {
                                printTimes(shorts);
                            }
                        });
    }

    /** Prints the times of prompts under 1,000 tokens by the tokens ahead of them. */
    private static void printTimes(KindResult shorts) {
        long from = 0;
        for (long bound : BOUNDS) {
            long lower = from;
            double[] times =
                    shorts.answers().stream()
                            .filter(each -> each.prefillTokens() < 1_000)
                            .filter(
                                    each ->
                                            each.tokensAhead() >= lower
                                                    && each.tokensAhead() < bound)
                            .mapToDouble(KindResult.Answer::millis)
                            .toArray();
            System.out.printf(
                    "    ahead from %6d: n %5d median %4.0f p95 %5.0f max %5.0f%n",
                    from,
                    times.length,
                    KindResult.quantile(times, 0.5),
                    KindResult.quantile(times, 0.95),
                    KindResult.quantile(times, 1));
            from = bound;
        }
    }
}
