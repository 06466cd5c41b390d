package org.martenwell.share;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * The state of all fair shares as computed by one gateway, for the log.
 *
 * @param level The largest share of the promised capacity, in tokens per window; infinite if it
 *     covers all demands.
 * @param observedLevel The largest share of the observed capacity, in tokens per window; infinite
 *     if it covers all demands.
 * @param produced The cost of all requests sent in the last window, in tokens.
 * @param organisations The sums of the organisations with the highest demand, in descending order.
 */
public record ShareSummary(
        double level, double observedLevel, double produced, Map<String, ShareSums> organisations) {

    /**
     * Creates a summary.
     *
     * @param level The largest share of the promised capacity, in tokens per window.
     * @param observedLevel The largest share of the observed capacity, in tokens per window.
     * @param sums The sums of all organisations.
     * @param limit The largest number of organisations to list.
     * @return The summary.
     */
    static ShareSummary of(
            double level, double observedLevel, Map<String, ShareSums> sums, int limit) {
        Map<String, ShareSums> organisations = new LinkedHashMap<>();
        Comparator<Map.Entry<String, ShareSums>> byDemand =
                Comparator.comparingDouble(each -> -each.getValue().requested());
        sums.entrySet().stream()
                .sorted(byDemand)
                .limit(limit)
                .forEach(each -> organisations.put(each.getKey(), each.getValue()));
        double produced = sums.values().stream().mapToDouble(ShareSums::sent).sum();
        return new ShareSummary(level, observedLevel, produced, organisations);
    }

    /** Returns a text like {@code level 5, observed 6, produced 9, o asked 9 got 6 within 5}. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        Locale.ROOT,
                        "level %.0f, observed %.0f, produced %.0f",
                        level,
                        observedLevel,
                        produced));
        organisations.forEach(
                (name, sums) ->
                        text.append(
                                String.format(
                                        Locale.ROOT,
                                        ", %s asked %.0f got %.0f within %.0f",
                                        name,
                                        sums.requested(),
                                        sums.sent(),
                                        sums.withinShare())));
        return text.toString();
    }
}
