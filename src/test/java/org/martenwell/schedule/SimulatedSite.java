package org.martenwell.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.martenwell.configuration.Pool;
import org.martenwell.configuration.PoolKind;
import org.martenwell.configuration.Target;

/**
 * Site to simulate: targets, and organisations that each send to some of the routers.
 *
 * @param routers The number of routers.
 * @param targets The targets.
 * @param routersByOrganisation The routers that each organisation sends to.
 * @param queueDepth The number of requests that each organisation keeps waiting.
 */
record SimulatedSite(
        int routers,
        List<Target> targets,
        Map<String, List<Integer>> routersByOrganisation,
        int queueDepth) {

    static final Pool POOL = Pool.ofModel("model");

    /**
     * Returns a site with 8 targets of 16 slots and 6 organisations spread unevenly over 9 routers.
     */
    static SimulatedSite coldChain() {
        return new SimulatedSite(
                9,
                targets(8, 16),
                Map.of(
                        "org0", List.of(0),
                        "org1", List.of(0, 1),
                        "org2", List.of(2),
                        "org3", List.of(3, 4, 5, 6),
                        "org4", List.of(0, 1, 2, 3, 4, 5, 6, 7, 8),
                        "org5", List.of(8)),
                40);
    }

    /**
     * Returns a site with 6 targets of 16 slots and 5 organisations spread unevenly over 7 routers.
     */
    static SimulatedSite foodAid() {
        return new SimulatedSite(
                7,
                targets(6, 16),
                Map.of(
                        "org0", List.of(0),
                        "org1", List.of(0, 1),
                        "org2", List.of(2, 3, 4, 5, 6),
                        "org3", List.of(6),
                        "org4", List.of(0, 1, 2, 3, 4, 5, 6)),
                40);
    }

    static List<Target> targets(int count, int slots) {
        List<Target> targets = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            targets.add(
                    new Target(
                            "target" + index,
                            "127.0.0.1:1",
                            "domain" + index % 3,
                            PoolKind.MODEL,
                            List.of("model"),
                            slots,
                            true));
        }
        return targets;
    }

    int slots() {
        return targets.stream().mapToInt(Target::slots).sum();
    }
}
