package org.martenwell.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class QuarantineTest {

    private static final Fingerprint HARMFUL = new Fingerprint(1, 2);

    /** A request of the same scope with another body. */
    private static final Fingerprint OTHER = new Fingerprint(1, 3);

    /** A part of prompts, which the requests don't have. */
    private static final Fingerprint PART = new Fingerprint(7, 1);

    private static final Fingerprint OTHER_PART = new Fingerprint(7, 2);

    /**
     * Longer than the time for which crashes are ignored after clearing a request, in milliseconds.
     */
    private static final long AFTER_CLEARING_MILLIS = 11_000;

    private final Quarantine quarantine = new Quarantine();

    @Test
    void testThirdCrashQuarantinesAfterTheDecisionDelay() {
        quarantine.recordCrash(HARMFUL, "a", 0);
        quarantine.recordCrash(HARMFUL, "b", 400);
        assertThat(quarantine.state(HARMFUL)).isEqualTo(QuarantineState.FREE);
        quarantine.recordCrash(HARMFUL, "c", 800);
        assertThat(quarantine.state(HARMFUL)).isEqualTo(QuarantineState.UNDECIDED);
        assertThat(quarantine.decide(1_700)).isEmpty();
        assertThat(quarantine.decide(1_800)).containsExactly(HARMFUL);
        assertThat(quarantine.state(HARMFUL)).isEqualTo(QuarantineState.QUARANTINED);
        assertThat(quarantine.state(OTHER)).isEqualTo(QuarantineState.FREE);
    }

    @Test
    void testRepeatedReportOfOneCrashCountsOnce() {
        for (int times = 0; times < 3; times++) {
            quarantine.recordCrash(HARMFUL, "a", 0);
            quarantine.applyUpdate(QuarantineUpdate.crash(HARMFUL, "a"), 0);
        }
        assertThat(quarantine.state(HARMFUL)).isEqualTo(QuarantineState.FREE);
    }

    /** Frequent requests, such as status queries, run on most targets that crash. */
    @Test
    void testCompletedRequestClearsRecordedCrashes() {
        quarantine.recordCrash(HARMFUL, "a", 0);
        quarantine.recordCrash(HARMFUL, "b", 400);
        quarantine.recordCrash(HARMFUL, "c", 800);
        assertThat(quarantine.clear(HARMFUL, 900)).isFalse();
        quarantine.recordCrash(HARMFUL, "d", 1_000);
        quarantine.applyUpdate(QuarantineUpdate.crash(HARMFUL, "a"), 1_100);
        assertThat(quarantine.crashedIncarnations(HARMFUL)).isEmpty();
        assertThat(quarantine.decide(2_000)).isEmpty();
    }

    /** A frequent request runs on all of several targets that crash at once. */
    @Test
    void testSimultaneousCrashesCountAsOne() {
        quarantine.recordCrash(HARMFUL, "a", 0);
        quarantine.recordCrash(HARMFUL, "b", 10);
        quarantine.recordCrash(HARMFUL, "c", 90);
        assertThat(quarantine.decide(1_200)).isEmpty();
        assertThat(quarantine.state(HARMFUL)).isEqualTo(QuarantineState.FREE);
        quarantine.applyUpdate(QuarantineUpdate.crash(HARMFUL, "b"), 1_250);
        quarantine.applyUpdate(QuarantineUpdate.crash(HARMFUL, "c"), 1_250);
        assertThat(quarantine.crashedIncarnations(HARMFUL)).containsExactly("a");
        quarantine.recordCrash(HARMFUL, "d", 1_300);
        quarantine.recordCrash(HARMFUL, "e", 1_700);
        assertThat(quarantine.decide(3_000)).containsExactly(HARMFUL);
    }

    @Test
    void testCrashesLongAfterCompletionCountAgain() {
        quarantine.recordCrash(HARMFUL, "a", 0);
        quarantine.clear(HARMFUL, 0);
        quarantine.recordCrash(HARMFUL, "b", AFTER_CLEARING_MILLIS);
        quarantine.recordCrash(HARMFUL, "c", AFTER_CLEARING_MILLIS);
        quarantine.recordCrash(HARMFUL, "d", AFTER_CLEARING_MILLIS + 500);
        assertThat(quarantine.decide(2 * AFTER_CLEARING_MILLIS)).containsExactly(HARMFUL);
    }

    @Test
    void testDelayedUpdateDoesNotQuarantineAReleasedRequest() {
        quarantine.quarantine(HARMFUL, 0);
        assertThat(quarantine.clear(HARMFUL, 1)).isTrue();
        assertThat(quarantine.applyUpdate(QuarantineUpdate.quarantined(HARMFUL), 30_000)).isFalse();
        assertThat(quarantine.state(HARMFUL)).isEqualTo(QuarantineState.FREE);
        assertThat(quarantine.takeUpdates(1)).containsExactly(QuarantineUpdate.cleared(HARMFUL));
    }

    @Test
    void testSnapshotHoldsQuarantinedRequestsAndCrashes() {
        quarantine.quarantine(OTHER, 0);
        quarantine.recordCrash(HARMFUL, "a", 0);
        assertThat(quarantine.snapshot())
                .containsExactlyInAnyOrder(
                        QuarantineUpdate.quarantined(OTHER), QuarantineUpdate.crash(HARMFUL, "a"));
    }

    /** Guards against an update for every completion of a request that was suspected once. */
    @Test
    void testCompletionOfAnUnsuspectedRequestQueuesNoUpdate() {
        quarantine.recordCrash(HARMFUL, "a", 0);
        quarantine.takeUpdates(0);
        quarantine.clear(HARMFUL, 1);
        assertThat(quarantine.takeUpdates(1)).containsExactly(QuarantineUpdate.cleared(HARMFUL));
        quarantine.clear(HARMFUL, 2);
        assertThat(quarantine.takeUpdates(2)).isEmpty();
    }

    @Test
    void testUpdateIsSentThreeTimes() {
        quarantine.recordCrash(HARMFUL, "a", 0);
        List<QuarantineUpdate> update = List.of(QuarantineUpdate.crash(HARMFUL, "a"));
        assertThat(quarantine.takeUpdates(0)).isEqualTo(update);
        assertThat(quarantine.takeUpdates(400)).isEmpty();
        assertThat(quarantine.takeUpdates(600)).isEqualTo(update);
        assertThat(quarantine.takeUpdates(2_100)).isEqualTo(update);
        assertThat(quarantine.takeUpdates(9_000)).isEmpty();
    }

    @Test
    void testFreeRequestsAreEvictedBeforeQuarantinedOnes() {
        quarantine.quarantine(HARMFUL, 0);
        for (int other = 0; other < 10_000; other++) {
            quarantine.recordCrash(new Fingerprint(5, other), "a", 1);
        }
        assertThat(quarantine.size()).isLessThan(5_000);
        assertThat(quarantine.state(HARMFUL)).isEqualTo(QuarantineState.QUARANTINED);
    }

    @Test
    void testQuarantineExpires() {
        quarantine.quarantine(HARMFUL, 0);
        quarantine.decide(Quarantine.QUARANTINE_MILLIS - 1);
        assertThat(quarantine.state(HARMFUL)).isEqualTo(QuarantineState.QUARANTINED);
        quarantine.decide(Quarantine.QUARANTINE_MILLIS);
        assertThat(quarantine.state(HARMFUL)).isEqualTo(QuarantineState.FREE);
        assertThat(quarantine.tracksScope(HARMFUL.scope())).isFalse();
    }

    @Property(tries = 300, seed = "1")
    void testUpdatesAreIdempotentAndCommutative(
            @ForAll @IntRange(min = 1, max = 5) int crashes, @ForAll long seed) {
        List<QuarantineUpdate> updates = new ArrayList<>();
        IntStream.range(0, crashes)
                .mapToObj(index -> QuarantineUpdate.crash(HARMFUL, "incarnation-" + index))
                .forEach(updates::add);
        updates.addAll(List.copyOf(updates));
        Collections.shuffle(updates, new Random(seed));
        Quarantine fresh = new Quarantine();
        long now = 0;
        for (QuarantineUpdate each : updates) {
            fresh.applyUpdate(each, now);
            now += 400;
        }
        assertThat(fresh.decide(now + AFTER_CLEARING_MILLIS)).hasSize(crashes >= 3 ? 1 : 0);
        assertThat(fresh.quarantinedCount()).isEqualTo(crashes >= 3 ? 1 : 0);
    }

    /** A long stream is resumed at one target after another that the part crashes. */
    @Test
    void testRequestThatRanBesideAHarmfulPartIsNotBlocked() {
        crash(OTHER, PART, "a", 0);
        crash(OTHER, PART, "b", 400);
        crash(OTHER, PART, "c", 800);
        assertThat(quarantine.state(OTHER, List.of())).isEqualTo(QuarantineState.FREE);
        assertThat(quarantine.decide(1_800)).containsExactly(PART);
        assertThat(quarantine.state(OTHER, List.of())).isEqualTo(QuarantineState.FREE);
        assertThat(quarantine.state(List.of(PART))).isEqualTo(QuarantineState.QUARANTINED);
    }

    /** A peer that missed the crashes of the part blames the request. */
    @Test
    void testRequestThatAPeerQuarantinedIsNotBlockedIfAPartExplainsItsCrashes() {
        crash(OTHER, PART, "a", 0);
        crash(OTHER, PART, "b", 400);
        crash(OTHER, PART, "c", 800);
        quarantine.decide(1_800);
        quarantine.applyUpdate(QuarantineUpdate.quarantined(OTHER), 1_900);
        assertThat(quarantine.state(OTHER, List.of())).isEqualTo(QuarantineState.FREE);
        quarantine.recordCrash(OTHER, "d", 2_000);
        assertThat(quarantine.state(OTHER, List.of())).isEqualTo(QuarantineState.UNDECIDED);
    }

    @Test
    void testTwoHarmfulPartsExplainTheCrashesOfARequestTogether() {
        for (String each : List.of("a", "b", "c")) {
            quarantine.recordPartCrash(PART, each, 0);
            quarantine.recordPartCrash(OTHER_PART, each + "2", 500);
        }
        quarantine.recordCrash(OTHER, "a", 0);
        quarantine.recordCrash(OTHER, "b", 400);
        quarantine.recordCrash(OTHER, "c2", 800);
        assertThat(quarantine.state(OTHER, List.of())).isEqualTo(QuarantineState.FREE);
    }

    /** A harmful request that ran beside a harmful part costs one target more. */
    @Test
    void testRequestThatCrashesATargetWithoutThePartIsBlocked() {
        crash(HARMFUL, PART, "a", 0);
        crash(HARMFUL, PART, "b", 400);
        crash(HARMFUL, PART, "c", 800);
        quarantine.decide(1_800);
        quarantine.recordCrash(HARMFUL, "d", 2_000);
        assertThat(quarantine.state(HARMFUL, List.of())).isEqualTo(QuarantineState.UNDECIDED);
        assertThat(quarantine.decide(3_000)).containsExactly(HARMFUL);
        assertThat(quarantine.state(HARMFUL, List.of())).isEqualTo(QuarantineState.QUARANTINED);
    }

    @Test
    void testPartThatIsSoundExplainsNothing() {
        crash(HARMFUL, PART, "a", 0);
        crash(HARMFUL, PART, "b", 400);
        crash(HARMFUL, PART, "c", 800);
        quarantine.partServed(PART, 1_000);
        assertThat(quarantine.state(HARMFUL, List.of())).isEqualTo(QuarantineState.UNDECIDED);
        assertThat(quarantine.decide(1_800)).containsExactly(HARMFUL);
    }

    @Test
    void testRequestsExplainNoOtherRequest() {
        for (int crash = 0; crash < 3; crash++) {
            quarantine.recordCrash(HARMFUL, "target-" + crash, 400L * crash);
            quarantine.recordCrash(OTHER, "target-" + crash, 400L * crash);
        }
        assertThat(quarantine.state(OTHER, List.of())).isEqualTo(QuarantineState.UNDECIDED);
        assertThat(quarantine.decide(1_800)).containsExactlyInAnyOrder(HARMFUL, OTHER);
    }

    private void crash(Fingerprint request, Fingerprint part, String incarnation, long now) {
        quarantine.recordCrash(request, incarnation, now);
        quarantine.recordPartCrash(part, incarnation, now);
    }
}
