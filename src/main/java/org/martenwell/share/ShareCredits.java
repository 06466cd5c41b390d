package org.martenwell.share;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Spreads the share of an organisation that requests more than its share evenly over its requests.
 * A fraction of the cost of each request is credited, and requests sent within the share spend the
 * credit. The sums of the fleet are out of date by a report interval; since they only change the
 * fraction, gateways don't all let the organisation in until the next report and then all stop it.
 */
final class ShareCredits {

    /** The relative change of the fraction for a share that is unused or used twice. */
    private static final double GAIN = 2;

    /** The largest credit that requests add up, as a fraction of the gateway's part of a share. */
    private static final double MAX_BALANCE_FRACTION = 0.25;

    /** The part of a share that counts as used. */
    private final ToDoubleFunction<ShareSums> used;

    /** The credits of organisations beyond their shares, by name. */
    private Map<String, Credit> credits = Map.of();

    /** The credit of one organisation at this gateway. */
    private static final class Credit {

        /** The fraction of the cost of each request that is credited, from 0 to 1. */
        private final double fraction;

        /** The largest balance that requests add up, in tokens. */
        private final double maxBalance;

        /** The credit, negative after a large request, in tokens. */
        private double balance;

        private Credit(double fraction, double maxBalance, double balance) {
            this.fraction = fraction;
            this.maxBalance = maxBalance;
            this.balance = balance;
        }
    }

    /**
     * Creates credits without any organisation.
     *
     * @param used Returns the part of the sums that counts as used, in tokens.
     */
    ShareCredits(ToDoubleFunction<ShareSums> used) {
        this.used = used;
    }

    /**
     * Recomputes the fractions. An organisation that begins to request more than its share starts
     * with the gateway's part of what is unused; the credit of one that no longer does expires.
     *
     * @param fleet The sums of the whole fleet, by organisation.
     * @param own The sums of this gateway, by organisation.
     * @param level The share, in tokens; infinite if the capacity covers all demands.
     */
    void update(Map<String, ShareSums> fleet, Map<String, ShareSums> own, double level) {
        Map<String, Credit> updated = new HashMap<>();
        own.forEach(
                (name, sums) -> {
                    ShareSums all = fleet.get(name);
                    if (all.requested() > level && sums.requested() > 0) {
                        updated.put(name, credit(name, all, sums.requested(), level));
                    }
                });
        credits = updated;
    }

    private Credit credit(String organisation, ShareSums all, double ownRequested, double level) {
        double unused = level - used.applyAsDouble(all);
        double fraction = level / all.requested() * (1 + GAIN * unused / level);
        double ownPart = ownRequested / all.requested();
        Credit former = credits.get(organisation);
        return new Credit(
                Math.max(0, Math.min(1, fraction)),
                MAX_BALANCE_FRACTION * ownPart * level,
                former == null ? ownPart * unused : former.balance);
    }

    /**
     * Credits a fraction of a request that arrived.
     *
     * @param organisation The organisation.
     * @param tokens The cost of the request, in tokens.
     */
    void add(String organisation, double tokens) {
        Credit credit = credits.get(organisation);
        if (credit != null) {
            double added = credit.fraction * tokens;
            double most = Math.max(credit.balance, Math.max(credit.maxBalance, added));
            credit.balance = Math.min(most, credit.balance + added);
        }
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
     * Limits the used fraction of a share by the credit. A request has credit if what it added is
     * left, whatever its size.
     *
     * @param organisation The organisation.
     * @param tokens The cost of the request, in tokens.
     * @param use The used fraction according to the sums of the fleet.
     * @return At most 1 with credit and above 1 without; the used fraction for an organisation that
     *     has no credits, because it requests no more than its share.
     */
    double limit(String organisation, double tokens, double use) {
        Credit credit = credits.get(organisation);
        if (credit == null) {
            return use;
        }
        return credit.balance >= credit.fraction * tokens
                ? Math.min(1, use)
                : Math.max(Math.nextUp(1.0), use);
    }
}
