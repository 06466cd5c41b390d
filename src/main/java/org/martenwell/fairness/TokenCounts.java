package org.martenwell.fairness;

import java.util.EnumMap;
import java.util.Map;
import org.martenwell.share.Disposition;

/**
 * Tokens of the requests of one organisation.
 *
 * @param requested The tokens of the requests that arrived.
 * @param ended The tokens of the requests whose disposition became known, by disposition.
 */
public record TokenCounts(long requested, Map<Disposition, Long> ended) {

    /** The counts without any request. */
    public static final TokenCounts NONE = new TokenCounts(0, Map.of());

    /**
     * Copies the map, so that the counts are immutable.
     *
     * @param requested The tokens of the requests that arrived.
     * @param ended The tokens by disposition.
     */
    public TokenCounts {
        ended = Map.copyOf(ended);
    }

    /** {@return the tokens of the requests that engines began to serve} */
    public long served() {
        return ended(Disposition.SERVED);
    }

    /** {@return the tokens of the requests that ended without service} */
    public long unserved() {
        return ended.values().stream().mapToLong(Long::longValue).sum() - served();
    }

    /**
     * Returns the tokens of one disposition.
     *
     * @param disposition The disposition.
     * @return The tokens, 0 if there are none.
     */
    public long ended(Disposition disposition) {
        return ended.getOrDefault(disposition, 0L);
    }

    /**
     * Divides the counts among equal parts.
     *
     * @param parts The number of parts.
     * @return The counts of one part, rounded down.
     */
    public TokenCounts dividedBy(long parts) {
        Map<Disposition, Long> quotients = new EnumMap<>(Disposition.class);
        ended.forEach((disposition, tokens) -> quotients.put(disposition, tokens / parts));
        return new TokenCounts(requested / parts, quotients);
    }

    /**
     * Adds other counts.
     *
     * @param other The other counts.
     * @return The sums of both.
     */
    public TokenCounts plus(TokenCounts other) {
        Map<Disposition, Long> sums = new EnumMap<>(Disposition.class);
        sums.putAll(ended);
        other.ended.forEach((disposition, tokens) -> sums.merge(disposition, tokens, Long::sum));
        return new TokenCounts(requested + other.requested, sums);
    }
}
