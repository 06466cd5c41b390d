package org.martenwell.balance;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.martenwell.route.EngineCapacity;

/** The fleets and mixes of prompts in which long and short prompts are placed. */
final class LongPromptScenarios {

    static final String LONG = "long";

    static final String CHAT = "chat";

    static final String SHORT = "short";

    /** The mix of usual times: long prompts, chats and short prompts. */
    private static final List<Double> MIX = List.of(0.25, 0.20, 0.55);

    private static final List<Double> SPEEDS = List.of(0.55, 1.2, 1.2, 1.2);

    private static final List<Double> ONLY_LONG = List.of(1.0, 0.0, 0.0);

    private static final List<Double> ONLY_SHORT = List.of(0.0, 0.27, 0.73);

    private LongPromptScenarios() {}

    /**
     * A scenario and its fleet.
     *
     * @param gateways The number of gateways.
     * @param engines The number of engines.
     * @param perEngine The requests per second for each engine.
     * @param seconds The duration.
     * @param model The requests and engines.
     */
    record Case(int gateways, int engines, double perEngine, long seconds, FleetModel model) {

        /** Returns the scenario with reports that are 0.3 s old on average. */
        PlacementSimulation.Scenario scenario(long seed) {
            return new PlacementSimulation.Scenario(
                    gateways, engines, engines * perEngine, 200, 200, seconds, seed);
        }
    }

    /** Returns the cases by name. */
    static Map<String, Case> cases(double load) {
        Map<String, Case> cases = new LinkedHashMap<>();
        cases.put("steady", fleet(load, 6, model(List.of(phase(0, 1, MIX)), 0)));
        cases.put(
                "burst",
                fleet(
                        load,
                        6,
                        model(
                                List.of(
                                        phase(0, 1, MIX),
                                        phase(2_000, 1.3, List.of(0.5, 0.14, 0.36)),
                                        phase(4_000, 1, MIX)),
                                0)));
        cases.put(
                "flip",
                fleet(
                        load,
                        6,
                        model(
                                List.of(
                                        phase(0, 1.3, List.of(0.05, 0.25, 0.70)),
                                        phase(2_000, 1, List.of(0.2, 0.2, 0.6)),
                                        phase(3_000, 0.8, List.of(0.4, 0.15, 0.45)),
                                        phase(4_000, 0.6, List.of(0.7, 0.1, 0.2))),
                                0)));
        cases.put("loss", fleet(load / 2, 6, model(List.of(phase(0, 1, MIX)), 3_000)));
        cases.put("only long", fleet(load * 0.5, 6, model(List.of(phase(0, 1, ONLY_LONG)), 0)));
        cases.put("only short", fleet(load * 1.4, 6, model(List.of(phase(0, 1, ONLY_SHORT)), 0)));
        cases.put(
                "B",
                new Case(
                        67,
                        98,
                        load,
                        6,
                        new FleetModel(
                                kinds(400, 400, 500),
                                List.of(phase(0, 1, MIX)),
                                CAPACITY,
                                25,
                                68,
                                2_048,
                                26,
                                3.55,
                                0.046,
                                SPEEDS,
                                true,
                                0)));
        cases.put("equal", fleet(load * 1.1, 6, equalEngines()));
        cases.put("small", new Case(5, 8, load, 12, model(List.of(phase(0, 1, MIX)), 0)));
        return cases;
    }

    private static final EngineCapacity CAPACITY = new EngineCapacity(12, 636_749, true);

    private static Case fleet(double perEngine, long seconds, FleetModel model) {
        return new Case(95, 78, perEngine, seconds, model);
    }

    private static FleetModel.Phase phase(double from, double factor, List<Double> shares) {
        return new FleetModel.Phase(from, factor, shares);
    }

    /** Returns the speed of an engine of these fleets, relative to their mean. */
    static double speed(TargetLoad load) {
        return Integer.parseInt(load.target().id()) % SPEEDS.size() == 0 ? 0.53 : 1.16;
    }

    private static FleetModel equalEngines() {
        return new FleetModel(
                kinds(600, 1_200, 300),
                List.of(phase(0, 1, MIX)),
                CAPACITY,
                25,
                57,
                1_024,
                26,
                3.55,
                0.046,
                List.of(1.0),
                false,
                0);
    }

    private static FleetModel model(List<FleetModel.Phase> phases, double lossMillis) {
        return new FleetModel(
                kinds(600, 1_200, 300),
                phases,
                CAPACITY,
                25,
                57,
                1_024,
                26,
                3.55,
                0.046,
                SPEEDS,
                true,
                lossMillis);
    }

    private static List<RequestKind> kinds(long chat, long classification, long interval) {
        return List.of(
                new RequestKind(LONG, 5_382, 980, 6_610, 54_600, 384, 800, interval),
                new RequestKind(CHAT, 198, 800, 628, 0, 288, chat, interval),
                new RequestKind(SHORT, 568, 1_450, 1_800, 0, 24, classification, interval));
    }
}
