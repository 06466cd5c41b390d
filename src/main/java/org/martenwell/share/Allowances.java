package org.martenwell.share;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Divides the shares of organisations that exceed them among the gateways of a fleet: each gateway
 * may let in the part that is asked for there. What the others let in a moment ago is not known,
 * and if all gateways went by what they have heard, they would let the same organisation in at
 * once.
 */
final class Allowances {

    /** Over how long a share is taken, in milliseconds. */
    private final long windowMillis;

    /** The allowances of the organisations that exceed their shares. */
    private final Map<String, Allowance> allowances = new HashMap<>();

    /**
     * Creates allowances that nobody has.
     *
     * @param windowMillis Over how long a share is taken, in milliseconds.
     */
    Allowances(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Returns which part of its allowance an organisation has used.
     *
     * @param organisation The organisation.
     * @param share Its share, in tokens a window.
     * @param fleetAsked What it asked of the whole fleet in the last window, in tokens.
     * @param ownAsked What it asked here, in tokens.
     * @param taken What it took here of its share in the last window, in tokens.
     * @param now The present time, in milliseconds.
     * @return The part or empty if it does not exceed its share or asked nothing here.
     */
    OptionalDouble used(
            String organisation,
            double share,
            double fleetAsked,
            double ownAsked,
            double taken,
            long now) {
        if (fleetAsked <= share || ownAsked <= 0) {
            allowances.remove(organisation);
            return OptionalDouble.empty();
        }
        double quota = share * Math.min(1, ownAsked / fleetAsked);
        Allowance allowance =
                allowances.computeIfAbsent(organisation, name -> new Allowance(quota, taken, now));
        allowance.refill(quota, windowMillis, now);
        return OptionalDouble.of(allowance.used());
    }

    /**
     * Takes tokens of an organisation's allowance, if it has one.
     *
     * @param organisation The organisation.
     * @param tokens The tokens; negative ones are given back.
     */
    void take(String organisation, double tokens) {
        Allowance allowance = allowances.get(organisation);
        if (allowance != null) {
            allowance.take(tokens);
        }
    }
}
