package org.martenwell.balance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.OptionalDouble;

/**
 * Relates the speeds of a service's targets to their mean. Samples are relative to what a gateway
 * expects of all targets together. While that expectation is wrong, as after the start of a
 * gateway, all targets seem slow or fast alike, and none must be treated as such.
 */
public final class RelativeSpeeds {

    /** The lower bound of the speeds that count as 1. */
    private static final double MIN_EQUAL = 0.85;

    /** The upper bound of the speeds that count as 1. */
    private static final double MAX_EQUAL = 1.15;

    /** The limit of a speed, and of its reciprocal. */
    private static final double MAX_SPEED = 4;

    /**
     * The smallest deviation from the mean that is not taken for noise, in standard errors. Work
     * that peers did not report yet disturbs samples under load, and without this limit equal
     * engines are treated differently.
     */
    private static final double MIN_DEVIATION_ERRORS = 2;

    private RelativeSpeeds() {}

    /**
     * Updates the factors of all targets of a service.
     *
     * @param targets The speeds of the targets; a target without an estimate gets the factor 1.
     * @param now The current time, in milliseconds.
     */
    public static void update(Collection<TargetSpeed> targets, long now) {
        List<TargetSpeed> estimated = new ArrayList<>();
        List<Double> logarithms = new ArrayList<>();
        double sum = 0;
        for (TargetSpeed each : targets) {
            OptionalDouble logarithm = each.logarithm(now);
            if (logarithm.isPresent()) {
                estimated.add(each);
                logarithms.add(logarithm.getAsDouble());
                sum += logarithm.getAsDouble();
            } else {
                each.factor(1);
            }
        }
        double mean = sum / Math.max(1, estimated.size());
        for (int index = 0; index < estimated.size(); index++) {
            TargetSpeed speed = estimated.get(index);
            double deviation = logarithms.get(index) - mean;
            boolean significant = Math.abs(deviation) > MIN_DEVIATION_ERRORS * speed.error();
            speed.factor(significant ? factor(Math.exp(deviation)) : 1);
        }
    }

    private static double factor(double speed) {
        return speed >= MIN_EQUAL && speed <= MAX_EQUAL
                ? 1
                : Math.max(1 / MAX_SPEED, Math.min(MAX_SPEED, speed));
    }
}
