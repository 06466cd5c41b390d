package org.martenwell.standin;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * The results of a load over all organisations.
 *
 * @param requests The number of requests sent.
 * @param complete The number of complete and correct responses.
 * @param wrongAnswers The number of incorrect responses, such as streams with missing or repeated
 *     tokens.
 * @param refusals The number of error responses and failures, by code.
 * @param completePerSecond The complete responses per second.
 * @param firstTokenMicros The time to first token in microseconds, by percentile.
 * @param tokens The number of tokens received, by organisation.
 */
public record LoadSummary(
        long requests,
        long complete,
        long wrongAnswers,
        Map<String, Long> refusals,
        double completePerSecond,
        Map<String, Long> firstTokenMicros,
        Map<String, Long> tokens) {

    private static final int[] PERCENTILES = {50, 95, 99};

    /**
     * Summarizes the results of a load generator.
     *
     * @param generator The load generator, after its end.
     * @param seconds The duration of the measured load, in seconds.
     * @return The summary.
     */
    public static LoadSummary of(LoadGenerator generator, double seconds) {
        Map<String, LoadTotals> totals = generator.totals();
        Map<String, Long> refusals = new TreeMap<>();
        Histogram firstToken = new Histogram(LoadTotals.DIGITS);
        for (LoadTotals each : totals.values()) {
            each.refusals().forEach((code, count) -> refusals.merge(code, count, Long::sum));
            firstToken.add(each.firstTokenMicros());
        }
        long complete = totals.values().stream().mapToLong(LoadTotals::complete).sum();
        return new LoadSummary(
                totals.values().stream().mapToLong(LoadTotals::requests).sum(),
                complete,
                totals.values().stream().mapToLong(LoadTotals::wrongAnswers).sum(),
                refusals,
                complete / seconds,
                percentiles(firstToken),
                new TreeMap<>(generator.delivered()));
    }

    /**
     * Returns selected percentiles of a histogram.
     *
     * @param histogram The histogram.
     * @return The values by the name of the percentile, such as {@code p99}.
     */
    public static Map<String, Long> percentiles(Histogram histogram) {
        Map<String, Long> percentiles = new LinkedHashMap<>();
        for (int percentile : PERCENTILES) {
            percentiles.put("p" + percentile, histogram.getValueAtPercentile(percentile));
        }
        return percentiles;
    }
}
