package org.martenwell.share;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Spreads the share of an organisation that requests more than its share evenly over time. Each
 * gateway credits its part of the share at a constant rate, and requests sent within the share
 * spend the credit. The sums of the fleet are out of date by a report interval; since they only
 * change the rate, gateways don't all let the organisation in until the next report and then all
 * stop it.
 *
 * <p>The rate doesn't depend on the present demand. It would otherwise exceed the share while the
 * demand rises, because the sums cover a window in which it was lower.
 */
final class ShareCredits {

    /** The relative change of the rate for a share that is unused or used twice. */
    private static final double GAIN = 2;

    /**
     * The time whose credit adds up while it is not spent, in milliseconds; short, since engines
     * that are full keep it from being spent until the demand of others has risen.
     */
    private static final double MAX_UNSPENT_MILLIS = 100;

    private final long windowMillis;

    /** The part of a share that counts as used. */
    private final ToDoubleFunction<ShareSums> used;

    /** The credits of organisations beyond their shares, by name. */
    private Map<String, Credit> credits = Map.of();

    /** The credit of one organisation at this gateway. */
    private static final class Credit {

        /** The credit per millisecond, in tokens. */
        private final double rate;

        /** The largest balance that adds up while nothing is sent, in tokens. */
        private final double maxUnspent;

        /** The credit, negative after a large request, in tokens. */
        private double balance;

        /** The time up to which the balance is computed, in milliseconds. */
        private long computedMillis;

        private Credit(double rate, double maxUnspent, double balance, long computedMillis) {
            this.rate = rate;
            this.maxUnspent = maxUnspent;
            this.balance = balance;
            this.computedMillis = computedMillis;
        }

        /**
         * Returns the balance. What adds up since the last computation may exceed the limit up to
         * the cost of the request at hand.
         */
        private double balance(double tokens, long now) {
            double most = Math.max(balance, Math.max(maxUnspent, tokens));
            balance = Math.min(most, balance + rate * (now - computedMillis));
            computedMillis = now;
            return balance;
        }
    }

    /**
     * Creates credits without any organisation.
     *
     * @param windowMillis The length of the window of the sums, in milliseconds.
     * @param used Returns the part of the sums that counts as used, in tokens.
     */
    ShareCredits(long windowMillis, ToDoubleFunction<ShareSums> used) {
        this.windowMillis = windowMillis;
        this.used = used;
    }

    /**
     * Recomputes the rates. An organisation that begins to request more than its share starts with
     * the gateway's part of what is unused; the credit of one that no longer does expires.
     *
     * @param fleet The sums of the whole fleet, by organisation.
     * @param own The sums of this gateway, by organisation.
     * @param level The share, in tokens; infinite if the capacity covers all demands.
     * @param now The current time, in milliseconds.
     */
    void update(Map<String, ShareSums> fleet, Map<String, ShareSums> own, double level, long now) {
        Map<String, Credit> updated = new HashMap<>();
        own.forEach(
                (name, sums) -> {
                    ShareSums all = fleet.get(name);
                    if (all.requested() > level && sums.requested() > 0) {
                        double ownPart = sums.requested() / all.requested();
                        updated.put(name, credit(name, all, ownPart, level, now));
                    }
                });
        credits = updated;
    }

    private Credit credit(
            String organisation, ShareSums all, double ownPart, double level, long now) {
        double unused = level - used.applyAsDouble(all);
        double share = ownPart * level / windowMillis;
        double maxUnspent = MAX_UNSPENT_MILLIS * share;
        Credit former = credits.get(organisation);
        return new Credit(
                share * Math.max(0, 1 + GAIN * unused / level),
                maxUnspent,
                former == null ? ownPart * unused : former.balance(0, now),
                now);
    }

    /**
     * Spends credit for a request that is sent.
     *
     * @param organisation The organisation.
     * @param tokens The cost of the request, in tokens; negative to revert this.
     */
    void spend(String organisation, double tokens) {
        Credit credit = credits.get(organisation);
        if (credit != null) {
            credit.balance -= tokens;
        }
    }

    /**
     * Limits the used fraction of a share by the credit. A request has credit if any is left,
     * whatever its size.
     *
     * @param organisation The organisation.
     * @param tokens The cost of the request, in tokens.
     * @param use The used fraction according to the sums of the fleet.
     * @param now The current time, in milliseconds.
     * @return At most 1 with credit and above 1 without; the used fraction for an organisation that
     *     has no credits, because it requests no more than its share.
     */
    double limit(String organisation, double tokens, double use, long now) {
        Credit credit = credits.get(organisation);
        if (credit == null) {
            return use;
        }
        return credit.balance(tokens, now) >= 0
                ? Math.min(1, use)
                : Math.max(Math.nextUp(1.0), use);
    }
}
