package org.martenwell.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Grants requests that continue streams precedence over new ones. The fleet admitted these streams
 * before and is to finish them, but a caller may name any of its streams in any request: each
 * stream gets few grants, and only for one organisation. Entries are retained for one to two
 * retention times after their last use, in two generations.
 */
public final class ContinuationGrants {

    /** The most grants of one stream, which breaks again where targets are lost in a row. */
    static final int MAX_GRANTS = 3;

    /** The most entries of a generation; the older generation is discarded early beyond them. */
    private static final int MAX_GENERATION_SIZE = 100_000;

    private Map<Long, Grants> current = new HashMap<>();

    private Map<Long, Grants> former = new HashMap<>();

    /** The time at which the current generation began, in milliseconds. */
    private long rotatedMillis;

    private long retentionMillis;

    /** The grants of one stream. */
    private static final class Grants {

        private final String organisation;

        private int count;

        private Grants(String organisation) {
            this.organisation = organisation;
        }
    }

    /**
     * Creates an instance without streams.
     *
     * @param retentionMillis The time for which streams are retained at least, in milliseconds.
     */
    public ContinuationGrants(long retentionMillis) {
        this.retentionMillis = retentionMillis;
    }

    /**
     * Changes the retention.
     *
     * @param millis The time for which streams are retained at least, in milliseconds.
     */
    public void retain(long millis) {
        retentionMillis = millis;
    }

    /**
     * Records whose stream began. A stream of which this is not recorded belongs to the
     * organisation that continues it first.
     *
     * @param stream The key of the stream.
     * @param organisation The organisation or an empty string.
     * @param now The current time, in milliseconds.
     */
    public void began(long stream, String organisation, long now) {
        of(stream, organisation, now);
    }

    /**
     * Takes a grant for a request that continues a stream.
     *
     * @param stream The key of the stream, which the fleet knows.
     * @param organisation The request's organisation or an empty string.
     * @param now The current time, in milliseconds.
     * @return {@code true} if the request has precedence over new ones.
     */
    public boolean take(long stream, String organisation, long now) {
        Grants grants = of(stream, organisation, now);
        if (!grants.organisation.equals(organisation) || grants.count >= MAX_GRANTS) {
            return false;
        }
        grants.count++;
        return true;
    }

    /**
     * Gives a grant back whose request was not sent to a target.
     *
     * @param stream The key of the stream.
     * @param now The current time, in milliseconds.
     */
    public void giveBack(long stream, long now) {
        rotate(now);
        Grants grants = current.getOrDefault(stream, former.get(stream));
        if (grants != null && grants.count > 0) {
            grants.count--;
        }
    }

    /** {@return the number of entries} */
    int size() {
        return current.size() + former.size();
    }

    /** Returns the entry of a stream, which is retained from now on. */
    private Grants of(long stream, String organisation, long now) {
        rotate(now);
        Grants older = former.remove(stream);
        return current.computeIfAbsent(
                stream, key -> older == null ? new Grants(organisation) : older);
    }

    private void rotate(long now) {
        boolean expired = now - rotatedMillis >= retentionMillis;
        if (!expired && current.size() < MAX_GENERATION_SIZE) {
            return;
        }
        boolean formerExpired = now - rotatedMillis >= 2 * retentionMillis;
        former = formerExpired ? new HashMap<>() : current;
        current = new HashMap<>();
        rotatedMillis = now;
    }
}
