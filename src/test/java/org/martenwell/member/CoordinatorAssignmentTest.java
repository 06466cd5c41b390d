package org.martenwell.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.martenwell.configuration.PoolKind;
import org.martenwell.configuration.Target;
import org.martenwell.schedule.CoordinatorReference;

class CoordinatorAssignmentTest {

    @Test
    void testCoordinatorIsInTheTargetsFailureDomain() {
        Map<String, CoordinatorReference> coordinators = assign(9);
        for (Target target : targets()) {
            int router = Integer.parseInt(coordinators.get(target.name()).name().substring(1));
            assertThat("domain" + router % 3).isEqualTo(target.failureDomain());
        }
    }

    @Test
    void testTargetsOfADomainWithoutRoutersAreAssigned() {
        List<CoordinatorCandidate> one = List.of(new CoordinatorCandidate("r0", 1, "domain0"));
        assertThat(CoordinatorAssignment.INSTANCE.assign(targets(), one)).hasSize(200);
    }

    @Test
    void testNoCandidatesAssignNothing() {
        assertThat(CoordinatorAssignment.INSTANCE.assign(targets(), List.of())).isEmpty();
    }

    @Property(tries = 30, seed = "1")
    void testOnlyTargetsOfARemovedRouterAreReassigned(
            @ForAll @IntRange(min = 6, max = 40) int routers,
            @ForAll @IntRange(max = 5) int removed) {
        Map<String, CoordinatorReference> before = assign(routers);
        List<CoordinatorCandidate> remaining = candidates(routers);
        remaining.remove(removed);
        Map<String, CoordinatorReference> after =
                CoordinatorAssignment.INSTANCE.assign(targets(), remaining);
        before.forEach(
                (target, coordinator) -> {
                    if (!coordinator.name().equals("r" + removed)) {
                        assertThat(after.get(target)).isEqualTo(coordinator);
                    }
                });
    }

    private static Map<String, CoordinatorReference> assign(int routers) {
        return CoordinatorAssignment.INSTANCE.assign(targets(), candidates(routers));
    }

    private static List<CoordinatorCandidate> candidates(int routers) {
        List<CoordinatorCandidate> candidates = new ArrayList<>();
        for (int index = 0; index < routers; index++) {
            candidates.add(new CoordinatorCandidate("r" + index, 1, "domain" + index % 3));
        }
        return candidates;
    }

    private static List<Target> targets() {
        List<Target> targets = new ArrayList<>();
        for (int index = 0; index < 200; index++) {
            targets.add(
                    new Target(
                            "t" + index,
                            "127.0.0.1:1",
                            "domain" + index % 3,
                            PoolKind.MODEL,
                            List.of("m"),
                            1,
                            true));
        }
        return targets;
    }
}
