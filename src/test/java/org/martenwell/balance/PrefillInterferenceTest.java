package org.martenwell.balance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.service.IpAddress;

/**
 * Guards against long prompts at slow engines, and against a division of the engines that leaves
 * prompts of the only kind fewer engines than there are.
 */
final class PrefillInterferenceTest {

    private static final double LONG = 140;

    private static final double SHORT = 20;

    private final Map<TargetLoad, Double> speeds = new HashMap<>();

    private final List<TargetLoad> engines = new ArrayList<>();

    private final PrefillInterference rule =
            new PrefillInterference(each -> speeds.getOrDefault(each, 1.0));

    @Test
    void testLongPromptsAreMeantForTheFastestEngines() {
        addEngines(1.2, 0.6, 1.2, 0.6);
        send(10, LONG, 70, SHORT);
        rule.update(engines, 0);
        assertThat(costs(LONG)).containsExactly(0.0, 300.0, 300.0, 300.0);
        assertThat(costs(SHORT)).containsExactly(300.0, 0.0, 0.0, 0.0);
    }

    @Test
    void testEnginesFollowTheMix() {
        addEngines(1.2, 0.6, 1.2, 0.6);
        send(10, LONG, 70, SHORT);
        rule.update(engines, 0);
        send(10, LONG, 0, SHORT);
        rule.update(engines, 100);
        assertThat(costs(LONG)).containsExactly(0.0, 300.0, 0.0, 300.0);
    }

    @Test
    void testEnginesOfEqualOrUnknownSpeedAreNotDivided() {
        addEngines(1, 1, 1.1, 1);
        send(10, LONG, 70, SHORT);
        rule.update(engines, 0);
        assertThat(costs(LONG)).containsOnly(0.0);
        assertThat(costs(SHORT)).containsOnly(0.0);
    }

    @Test
    void testPromptsOfOneKindUseAllEngines() {
        addEngines(1.2, 0.6, 1.2, 0.6);
        send(40, LONG, 0, SHORT);
        rule.update(engines, 0);
        assertThat(costs(LONG)).containsOnly(0.0);
        PrefillInterference shortOnly = new PrefillInterference(speeds::get);
        for (int request = 0; request < 100; request++) {
            shortOnly.sent(SHORT, 0);
        }
        shortOnly.update(engines, 0);
        assertThat(shortOnly.costMillis(engines.get(0), SHORT, 0, 0)).isZero();
    }

    @Test
    void testDivisionFollowsTheLossOfEngines() {
        addEngines(1.2, 0.6, 1.2, 0.6);
        send(10, LONG, 70, SHORT);
        rule.update(engines, 0);
        engines.remove(0);
        rule.update(engines, 100);
        assertThat(costs(LONG)).containsExactly(300.0, 0.0, 300.0);
    }

    @Test
    void testOneEngineIsNotDivided() {
        addEngines(1.2);
        rule.update(engines, 0);
        assertThat(costs(LONG)).containsExactly(0.0);
        assertThat(costs(SHORT)).containsExactly(0.0);
    }

    private List<Double> costs(double prefillMillis) {
        return engines.stream().map(each -> rule.costMillis(each, prefillMillis, 0, 0)).toList();
    }

    private void send(int longCount, double longMillis, int shortCount, double shortMillis) {
        for (int request = 0; request < longCount; request++) {
            rule.sent(longMillis, 0);
        }
        for (int request = 0; request < shortCount; request++) {
            rule.sent(shortMillis, 0);
        }
    }

    /** Adds engines; the hash of their ids orders those of equal speed as they are added. */
    private void addEngines(double... added) {
        List<TargetLoad> ordered = new ArrayList<>();
        for (int index = 0; index < added.length; index++) {
            ordered.add(
                    new TargetLoad(
                            new DirectoryTarget(
                                    "engine-" + index,
                                    OptionalLong.of(1),
                                    "s",
                                    IpAddress.of("127.0.0.1:1"),
                                    "d",
                                    10,
                                    false)));
        }
        ordered.sort((one, two) -> Long.compare(one.idHash(), two.idHash()));
        for (int index = 0; index < added.length; index++) {
            speeds.put(ordered.get(index), added[index]);
        }
        engines.addAll(ordered);
    }
}
