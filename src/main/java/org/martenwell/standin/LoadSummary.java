package org.martenwell.standin;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * What became of a load.
 *
 * @param requests The requests sent.
 * @param complete The answers that arrived whole.
 * @param wrongAnswers The answers that were not what they had to be.
 * @param refusals The refusals and failures by code.
 * @param completePerSecond The answers that arrived whole, a second.
 * @param firstTokenMicros The times to the first token by percentile, in microseconds.
 * @param tokens The tokens that arrived, by organisation.
 */
public record LoadSummary(
        long requests,
        long complete,
        long wrongAnswers,
        Map<String, Long> refusals,
        double completePerSecond,
        Map<String, Long> firstTokenMicros,
        Map<String, Long> tokens) {

    /** The percentiles that are told. */
    private static final int[] PERCENTILES = {50, 95, 99};

    /**
     * Sums up a load.
     *
     * @param generator What sent it.
     * @param seconds How long it was sent, in seconds.
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
     * Reads the percentiles of a histogram.
     *
     * @param histogram The histogram.
     * @return The values by percentile.
     */
    public static Map<String, Long> percentiles(Histogram histogram) {
        Map<String, Long> percentiles = new LinkedHashMap<>();
        for (int percentile : PERCENTILES) {
            percentiles.put("p" + percentile, histogram.getValueAtPercentile(percentile));
        }
        return percentiles;
    }
}
