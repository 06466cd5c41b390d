package org.martenwell.share;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Fair shares of the whole fleet as one gateway sees them, for the log.
 *
 * @param level The greatest share of what is promised, in tokens a window; infinite if all demands
 *     are met.
 * @param observedLevel The greatest share of what is produced, likewise.
 * @param produced What all organisations got in the last window, in tokens.
 * @param organisations What those that asked most asked and got, the greatest first.
 */
public record ShareSummary(
        double level, double observedLevel, double produced, Map<String, ShareSums> organisations) {

    /**
     * Summarises shares.
     *
     * @param level The greatest share of what is promised.
     * @param observedLevel The greatest share of what is produced.
     * @param sums What all organisations asked and got.
     * @param most Of how many of them to tell.
     * @return The summary.
     */
    static ShareSummary of(
            double level, double observedLevel, Map<String, ShareSums> sums, int most) {
        Map<String, ShareSums> organisations = new LinkedHashMap<>();
        Comparator<Map.Entry<String, ShareSums>> byAsked =
                Comparator.comparingDouble(each -> -each.getValue().asked());
        sums.entrySet().stream()
                .sorted(byAsked)
                .limit(most)
                .forEach(each -> organisations.put(each.getKey(), each.getValue()));
        double produced = sums.values().stream().mapToDouble(ShareSums::begun).sum();
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
                                        sums.asked(),
                                        sums.begun(),
                                        sums.within())));
        return text.toString();
    }
}
