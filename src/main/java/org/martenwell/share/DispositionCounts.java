package org.martenwell.share;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the tokens that each organisation requests at this gateway, by the disposition of the
 * requests. A request counts as requested when it arrives, and with its disposition when that is
 * known, which may be later.
 */
public final class DispositionCounts {

    /** The name of the requested tokens in a snapshot. */
    public static final String REQUESTED = "requested";

    /** The counts by organisation. */
    private final Map<String, Counts> counts = new TreeMap<>();

    /** The refused tokens by organisation, then by the label of the reason. */
    private final Map<String, Map<String, Double>> refusals = new TreeMap<>();

    /** The counts of one organisation. */
    private static final class Counts {

        private double requested;

        private final Map<Disposition, Double> ended = new EnumMap<>(Disposition.class);
    }

    /** Creates counts without any request. */
    public DispositionCounts() {}

    /**
     * Counts a request that arrived.
     *
     * @param organisation The organisation.
     * @param tokens The cost of the request, in tokens.
     */
    public void requested(String organisation, double tokens) {
        of(organisation).requested += tokens;
    }

    /**
     * Counts a request whose disposition is known.
     *
     * @param organisation The organisation.
     * @param tokens The cost of the request, in tokens.
     * @param disposition The disposition.
     */
    public void ended(String organisation, double tokens, Disposition disposition) {
        of(organisation).ended.merge(disposition, tokens, Double::sum);
    }

    /**
     * Counts a request that was refused, besides its disposition.
     *
     * @param organisation The organisation.
     * @param tokens The cost of the request, in tokens.
     * @param reason The decision that refused it.
     */
    public void refused(String organisation, double tokens, RefusalReason reason) {
        refusals.computeIfAbsent(organisation, name -> new TreeMap<>())
                .merge(reason.label(), tokens, Double::sum);
    }

    /**
     * Returns the refused tokens since the last call and resets them.
     *
     * @return The tokens by organisation, then by the label of the reason.
     */
    public Map<String, Map<String, Long>> takeRefusals() {
        Map<String, Map<String, Long>> taken = new LinkedHashMap<>();
        refusals.forEach((organisation, each) -> taken.put(organisation, rounded(each)));
        refusals.clear();
        return taken;
    }

    private static Map<String, Long> rounded(Map<String, Double> tokens) {
        Map<String, Long> rounded = new LinkedHashMap<>();
        tokens.forEach((label, each) -> rounded.put(label, Math.round(each)));
        return rounded;
    }

    /**
     * Returns the counts since the last call and resets them.
     *
     * @return The tokens by organisation, then by {@link #REQUESTED} and the labels of
     *     dispositions; zeros are left out.
     */
    public Map<String, Map<String, Long>> take() {
        Map<String, Map<String, Long>> taken = new LinkedHashMap<>();
        counts.forEach((organisation, each) -> taken.put(organisation, snapshot(each)));
        counts.clear();
        return taken;
    }

    private Counts of(String organisation) {
        return counts.computeIfAbsent(organisation, name -> new Counts());
    }

    private static Map<String, Long> snapshot(Counts counts) {
        Map<String, Long> tokens = new LinkedHashMap<>();
        if (counts.requested > 0) {
            tokens.put(REQUESTED, Math.round(counts.requested));
        }
        counts.ended.forEach(
                (disposition, ended) -> tokens.put(disposition.label(), Math.round(ended)));
        return tokens;
    }
}
