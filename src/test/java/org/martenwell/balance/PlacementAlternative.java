package org.martenwell.balance;

import java.util.Collection;
import java.util.function.ToDoubleFunction;

/** Ways to place long prompts beside short ones, as compared in the design note. */
enum PlacementAlternative {

    /** The placement without a rule. */
    NONE {
        @Override
        double costMillis(double prefillMillis, int running, double backlogMillis) {
            return 0;
        }
    },

    /** A cost for the delay of the running requests. */
    FORECAST {
        @Override
        double costMillis(double prefillMillis, int running, double backlogMillis) {
            return 0.1 * running * prefillMillis;
        }
    },

    /** The same, and other engines than busy ones for prompts above the event interval. */
    FORECAST_AND_INTERVAL {
        @Override
        double costMillis(double prefillMillis, int running, double backlogMillis) {
            return FORECAST.costMillis(prefillMillis, running, backlogMillis)
                    + (running > 0 && prefillMillis > 300 ? OTHER_ENGINES_MILLIS : 0);
        }
    },

    /** A bound on the prefill of long prompts at busy engines. */
    BOUND {
        @Override
        double costMillis(double prefillMillis, int running, double backlogMillis) {
            return isLong(prefillMillis) && running > 0 && backlogMillis + prefillMillis > 300
                    ? OTHER_ENGINES_MILLIS
                    : 0;
        }
    },

    /** Long prompts that wait at the gateway while all engines have a backlog. */
    HOLD {
        @Override
        double costMillis(double prefillMillis, int running, double backlogMillis) {
            return isLong(prefillMillis) && backlogMillis > 150 ? Double.POSITIVE_INFINITY : 0;
        }
    },

    /** Long prompts that gather behind a backlog, which short ones avoid. */
    GATHER {
        @Override
        double costMillis(double prefillMillis, int running, double backlogMillis) {
            return isLong(prefillMillis) ? -0.5 * Math.min(backlogMillis, 100) : backlogMillis;
        }
    },

    /** Classes of engines by hash. */
    HASH_CLASSES {
        @Override
        double costMillis(double prefillMillis, int running, double backlogMillis) {
            return 0;
        }

        @Override
        PlacementRule rule(ToDoubleFunction<TargetLoad> speeds) {
            // Speeds that differ by hash and almost not in size divide the engines by hash.
            return new PrefillInterference(load -> load.idHash() < 0 ? 1.11 : 0.89);
        }
    },

    /** Classes of engines by speed, as in production. */
    SPEED_CLASSES {
        @Override
        double costMillis(double prefillMillis, int running, double backlogMillis) {
            return 0;
        }

        @Override
        PlacementRule rule(ToDoubleFunction<TargetLoad> speeds) {
            return new PrefillInterference(speeds);
        }
    };

    /** A cost above all others, for engines that are chosen only if no other has capacity. */
    private static final double OTHER_ENGINES_MILLIS = 100_000;

    abstract double costMillis(double prefillMillis, int running, double backlogMillis);

    /** Creates the rule of a gateway that knows the speeds of engines. */
    PlacementRule rule(ToDoubleFunction<TargetLoad> speeds) {
        return new PlacementRule() {
            @Override
            public void update(Collection<TargetLoad> engines, long now) {}

            @Override
            public double costMillis(
                    TargetLoad load, double prefillMillis, int running, double backlogMillis) {
                return PlacementAlternative.this.costMillis(prefillMillis, running, backlogMillis);
            }

            @Override
            public void sent(double prefillMillis, long now) {}
        };
    }

    /** Creates the same rule with backlogs and prefills divided by the speeds. */
    PlacementRule withSpeeds(ToDoubleFunction<TargetLoad> speeds) {
        PlacementRule rule = rule(speeds);
        return new PlacementRule() {
            @Override
            public void update(Collection<TargetLoad> engines, long now) {
                rule.update(engines, now);
            }

            @Override
            public double costMillis(
                    TargetLoad load, double prefillMillis, int running, double backlogMillis) {
                return rule.costMillis(load, prefillMillis, running, backlogMillis)
                        + (backlogMillis + prefillMillis) * (1 / speeds.applyAsDouble(load) - 1);
            }

            @Override
            public void sent(double prefillMillis, long now) {
                rule.sent(prefillMillis, now);
            }
        };
    }

    private static boolean isLong(double prefillMillis) {
        return prefillMillis > PrefillInterference.LONG_PREFILL_MILLIS;
    }
}
