package org.martenwell.fairness;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.martenwell.share.Disposition;

/**
 * The shares that organisations got in sliding windows. Only windows count in which an organisation
 * had unserved requests in each second; in others it may have asked for no more than it got.
 */
public final class FairnessReport {

    /** The length of a window, in seconds. */
    public static final int WINDOW_SECONDS = 6;

    /** The number of gateways listed for a share. */
    private static final int LISTED_GATEWAYS = 3;

    private final ServiceHistory history;

    /** The least share of each organisation, the lowest one first. */
    private final List<ServedShare> leastShares;

    private FairnessReport(ServiceHistory history, List<ServedShare> leastShares) {
        this.history = history;
        this.leastShares = leastShares;
    }

    /**
     * Computes the least share of each organisation.
     *
     * @param history The tokens that the gateways counted.
     * @return The report.
     */
    public static FairnessReport of(ServiceHistory history) {
        List<ServedShare> least = new ArrayList<>();
        for (String organisation : history.organisations()) {
            leastShare(history, organisation).ifPresent(least::add);
        }
        least.sort(Comparator.comparingDouble(ServedShare::fraction));
        return new FairnessReport(history, least);
    }

    /** {@return the least share of each organisation that has one, the lowest one first} */
    public List<ServedShare> leastShares() {
        return List.copyOf(leastShares);
    }

    /**
     * Describes the least shares in text, one organisation per line, and for the first of them the
     * gateways at which most of its tokens went unserved.
     *
     * @param limit The largest number of organisations.
     * @return The lines.
     */
    public List<String> lines(int limit) {
        List<String> lines = new ArrayList<>();
        for (ServedShare each : leastShares.stream().limit(limit).toList()) {
            lines.add(line(each));
        }
        leastShares.stream().findFirst().ifPresent(each -> lines.addAll(gatewayLines(each)));
        return lines;
    }

    private static Optional<ServedShare> leastShare(ServiceHistory history, String organisation) {
        if (history.firstSecond().isEmpty()) {
            return Optional.empty();
        }
        List<ServedShare> shares = new ArrayList<>();
        long last = history.lastSecond().get() - WINDOW_SECONDS + 1;
        for (long from = history.firstSecond().get(); from <= last; from++) {
            if (alwaysUnserved(history, from, organisation)) {
                shares.add(share(history, from, organisation));
            }
        }
        return shares.stream()
                .filter(each -> each.owedTokens() > 0)
                .min(Comparator.comparingDouble(ServedShare::fraction));
    }

    private static boolean alwaysUnserved(ServiceHistory history, long from, String organisation) {
        for (long second = from; second < from + WINDOW_SECONDS; second++) {
            if (history.counts(second, organisation).unserved() == 0) {
                return false;
            }
        }
        return true;
    }

    private static ServedShare share(ServiceHistory history, long from, String organisation) {
        String best =
                history.organisations().stream()
                        .max(Comparator.comparingLong(each -> served(history, from, each)))
                        .orElse(organisation);
        long owed = 0;
        for (long second = from; second < from + WINDOW_SECONDS; second++) {
            owed +=
                    Math.min(
                            history.counts(second, organisation).requested(),
                            history.counts(second, best).served());
        }
        return new ServedShare(
                organisation,
                from,
                history.sum(from, WINDOW_SECONDS, organisation),
                best,
                served(history, from, best),
                owed);
    }

    private static long served(ServiceHistory history, long from, String organisation) {
        return history.sum(from, WINDOW_SECONDS, organisation).served();
    }

    private static String line(ServedShare share) {
        return String.format(
                Locale.ROOT,
                "%.2f %s from %s: %s; best served %s %d",
                share.fraction(),
                share.organisation(),
                Instant.ofEpochSecond(share.fromSecond()),
                text(share.counts()),
                share.best(),
                share.bestServed());
    }

    private List<String> gatewayLines(ServedShare share) {
        Comparator<Map.Entry<String, TokenCounts>> byUnserved =
                Comparator.comparingLong(each -> -each.getValue().unserved());
        return history
                .byGateway(share.fromSecond(), WINDOW_SECONDS, share.organisation())
                .entrySet()
                .stream()
                .sorted(byUnserved)
                .limit(LISTED_GATEWAYS)
                .map(each -> "  at " + each.getKey() + ": " + text(each.getValue()))
                .toList();
    }

    private static String text(TokenCounts counts) {
        StringBuilder text = new StringBuilder("requested ").append(counts.requested());
        for (Disposition each : Disposition.values()) {
            text.append(", ").append(each.label()).append(' ').append(counts.ended(each));
        }
        return text.toString();
    }
}
