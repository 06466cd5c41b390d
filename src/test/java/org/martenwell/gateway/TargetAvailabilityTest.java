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
 * Property test of the target table with random sequences of restarts, removals, drains and pauses,
 * reported by the directory, by peers and by responses of current and former incarnations. A target
 * accepts requests exactly if its current incarnation is neither draining nor paused.
 */
final class TargetAvailabilityTest {

    private static final int TARGETS = 4;

    private static final int STEPS = 120;

    private final Set<String> draining = new HashSet<>();

    private final Map<String, Long> pausedUntil = new HashMap<>();

    /** All targets that were ever in the table, by incarnation. */
    private final Map<String, TargetLoad> everKnown = new HashMap<>();

    private final Map<String, DirectoryTarget> directory = new HashMap<>();

    private long now;

    private TargetTable table;

    @Property(tries = 200, seed = "46")
    void testTargetAcceptsRequestsUnlessItsIncarnationDrainsOrIsPaused(
            @ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
        reset();
        Random random = new Random(seed);
        for (int step = 0; step < STEPS; step++) {
            now += random.nextInt(300);
            step(random, "t" + random.nextInt(TARGETS));
            assertThat(available()).isEqualTo(expected());
        }
    }

    /** Resets the state, since all tries share one test instance. */
    private void reset() {
        draining.clear();
        pausedUntil.clear();
        everKnown.clear();
        directory.clear();
        now = 0;
        table =
                new TargetTable(
                        Eventloop.builder().withTimeProvider(() -> now).withCurrentThread().build(),
                        "self",
                        new TargetCrashListener(target -> {}));
    }

    private void step(Random random, String id) {
        switch (random.nextInt(6)) {
            case 0, 1 -> publish(target(id, random.nextInt(3), random.nextInt(5) == 0));
            case 2 -> remove(id);
            case 3 -> {
                String incarnation = id + "@" + random.nextInt(3);
                table.markDrainingByPeer(incarnation, now);
                draining.add(incarnation);
            }
            default -> receiveNotice(random);
        }
    }

    private void publish(DirectoryTarget target) {
        directory.put(target.id(), target);
        if (target.draining()) {
            draining.add(target.incarnation());
        }
        update();
    }

    private void remove(String id) {
        directory.remove(id);
        update();
    }

    private void update() {
        table.update(Map.copyOf(directory), now);
        table.all().forEach(each -> everKnown.put(each.load().target().incarnation(), each.load()));
    }

    /** Applies a notice of a current or former incarnation. */
    private void receiveNotice(Random random) {
        if (everKnown.isEmpty()) {
            return;
        }
        List<String> incarnations = everKnown.keySet().stream().sorted().toList();
        String incarnation = incarnations.get(random.nextInt(incarnations.size()));
        if (random.nextInt(4) == 0) {
            everKnown.get(incarnation).availability().markDraining(NoticeSource.ANSWER, now);
            draining.add(incarnation);
        } else {
            long millis = random.nextInt(4_000);
            everKnown.get(incarnation).availability().pause(millis, now);
            pausedUntil.merge(incarnation, now + millis, Math::max);
        }
    }

    private Set<String> available() {
        Set<String> available = new HashSet<>();
        table.available(TargetSelector.of("service"), List.of(), now)
                .forEach(each -> available.add(each.target().incarnation()));
        return available;
    }

    private Set<String> expected() {
        Set<String> expected = new HashSet<>();
        for (DirectoryTarget each : directory.values()) {
            boolean paused = now < pausedUntil.getOrDefault(each.incarnation(), 0L);
            if (!draining.contains(each.incarnation()) && !paused) {
                expected.add(each.incarnation());
            }
        }
        return expected;
    }

    private static DirectoryTarget target(String id, long startMillis, boolean draining) {
        return new DirectoryTarget(
                id,
                OptionalLong.of(startMillis),
                "service",
                IpAddress.of("127.0.0.1:1"),
                "zone",
                1,
                draining);
    }
}
