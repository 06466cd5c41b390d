package org.martenwell.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.martenwell.balance.PlacementRule;
import org.martenwell.balance.PrefillInterference;
import org.martenwell.balance.TargetLoad;
import org.martenwell.balance.UnrestrictedPlacement;

/** The rules by which prompts are placed, by service, and the mean cost that they added. */
final class PlacementRules {

    /** The weight of a new placement in the mean cost. */
    private static final double SMOOTHING = 0.05;

    /** Set if long prompts are separated from short ones. */
    private final boolean separated;

    private final ToDoubleFunction<TargetLoad> speeds;

    private final Map<String, PlacementRule> rules = new HashMap<>();

    /** The mean cost of the last placements, in milliseconds. */
    private double meanMillis;

    /**
     * Creates the rules.
     *
     * @param separated {@code true} if long prompts are separated from short ones.
     * @param speeds The speed of an engine, 1 being the usual one and that of an unknown speed.
     */
    PlacementRules(boolean separated, ToDoubleFunction<TargetLoad> speeds) {
        this.separated = separated;
        this.speeds = speeds;
    }

    /**
     * Returns the rule of a service.
     *
     * @param service The name of the service.
     * @return The rule, which adds no cost if prompts are not separated.
     */
    PlacementRule rule(String service) {
        return separated
                ? rules.computeIfAbsent(service, name -> new PrefillInterference(speeds))
                : UnrestrictedPlacement.INSTANCE;
    }

    /**
     * Records a request that was sent.
     *
     * @param service The name of the service.
     * @param prefillMillis The time for its prefill at an engine of the usual speed, in
     *     milliseconds.
     * @param costMillis The cost that the rule added, in milliseconds.
     * @param now The current time, in milliseconds.
     */
    void sent(String service, double prefillMillis, double costMillis, long now) {
        rule(service).sent(prefillMillis, now);
        meanMillis += SMOOTHING * (costMillis - meanMillis);
    }

    /** {@return the mean cost of the last placements, in milliseconds} */
    long meanMillis() {
        return Math.round(meanMillis);
    }
}
