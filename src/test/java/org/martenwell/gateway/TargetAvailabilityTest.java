package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.martenwell.balance.NoticeSource;
import org.martenwell.balance.TargetLoad;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.service.IpAddress;

/**
 * Lets targets start again, lapse, come back as they were, leave and rest, told by the directory,
 * by peers and by answers of present and former lives, in any order. A target takes requests
 * exactly if its present life has neither said that it leaves nor rests.
 */
final class TargetAvailabilityTest {

    private static final int TARGETS = 4;

    private static final int STEPS = 120;

    private final Set<String> left = new HashSet<>();

    private final Map<String, Long> restUntil = new HashMap<>();

    /** All targets that the table ever had, former lives among them. */
    private final Map<String, TargetLoad> everKnown = new HashMap<>();

    private final Map<String, DirectoryTarget> told = new HashMap<>();

    private long now;

    private TargetTable table;

    @Property(tries = 200, seed = "46")
    void testTargetTakesRequestsExactlyIfNoWordOfItsLifeSpeaksAgainstIt(
            @ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
        start();
        Random random = new Random(seed);
        for (int step = 0; step < STEPS; step++) {
            now += random.nextInt(300);
            step(random, "t" + random.nextInt(TARGETS));
            assertThat(open()).isEqualTo(expected());
        }
    }

    /** Tries share the object, so each begins with nothing known. */
    private void start() {
        left.clear();
        restUntil.clear();
        everKnown.clear();
        told.clear();
        now = 0;
        table =
                new TargetTable(
                        Eventloop.builder().withTimeProvider(() -> now).withCurrentThread().build(),
                        new EndedTargets(target -> {}));
    }

    private void step(Random random, String id) {
        switch (random.nextInt(6)) {
            case 0, 1 -> tell(target(id, random.nextInt(3), random.nextInt(5) == 0));
            case 2 -> lapse(id);
            case 3 -> {
                String life = id + "@" + random.nextInt(3);
                table.leavingByPeer(life, now);
                left.add(life);
            }
            default -> answer(random);
        }
    }

    private void tell(DirectoryTarget target) {
        told.put(target.id(), target);
        if (target.leaving()) {
            left.add(target.life());
        }
        update();
    }

    private void lapse(String id) {
        told.remove(id);
        update();
    }

    private void update() {
        table.update(Map.copyOf(told));
        table.all().forEach(each -> everKnown.put(each.load().target().life(), each.load()));
    }

    /** Takes in what an answer of some life says, which may come late. */
    private void answer(Random random) {
        if (everKnown.isEmpty()) {
            return;
        }
        List<String> lives = everKnown.keySet().stream().sorted().toList();
        String life = lives.get(random.nextInt(lives.size()));
        if (random.nextInt(4) == 0) {
            everKnown.get(life).availability().markDraining(NoticeSource.ANSWER, now);
            left.add(life);
        } else {
            long millis = random.nextInt(4_000);
            everKnown.get(life).availability().pause(millis, now);
            restUntil.merge(life, now + millis, Math::max);
        }
    }

    private Set<String> open() {
        Set<String> open = new HashSet<>();
        table.open("service", List.of(), now).forEach(each -> open.add(each.target().life()));
        return open;
    }

    private Set<String> expected() {
        Set<String> expected = new HashSet<>();
        for (DirectoryTarget each : told.values()) {
            boolean rests = now < restUntil.getOrDefault(each.life(), 0L);
            if (!left.contains(each.life()) && !rests) {
                expected.add(each.life());
            }
        }
        return expected;
    }

    private static DirectoryTarget target(String id, long born, boolean leaving) {
        return new DirectoryTarget(
                id,
                OptionalLong.of(born),
                "service",
                IpAddress.of("127.0.0.1:1"),
                "zone",
                1,
                leaving);
    }
}
