package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the selection of relays. */
final class RelaySelectorTest {

    /** Longer than the silence after which a relay is suspected, in milliseconds. */
    private static final long SUSPECT_MILLIS = 701;

    private final RelaySelector selector = new RelaySelector();

    @Test
    void testFirstCandidateIsChosenWhileItReports() {
        selector.candidates(List.of("a", "b", "c"));
        for (long now = 0; now < 5_000; now += 100) {
            selector.recordRelay("a", now);
            assertThat(selector.choose("c", now)).contains("a");
        }
    }

    @Test
    void testSilentCandidatesAreSkippedOneByOneUpToThisGateway() {
        selector.candidates(List.of("a", "b", "c"));
        assertThat(selector.choose("c", 0)).contains("a");
        assertThat(selector.choose("c", SUSPECT_MILLIS)).contains("b");
        assertThat(selector.choose("c", SUSPECT_MILLIS + 1)).contains("b");
        assertThat(selector.choose("c", 2 * SUSPECT_MILLIS)).contains("c");
        assertThat(selector.choose("c", 9 * SUSPECT_MILLIS)).contains("c");
    }

    @Test
    void testSuspectedCandidateIsChosenAgainOnceItReports() {
        selector.candidates(List.of("a", "b"));
        selector.choose("b", 0);
        assertThat(selector.choose("b", SUSPECT_MILLIS)).contains("b");
        selector.recordRelay("a", SUSPECT_MILLIS + 5);
        assertThat(selector.choose("b", SUSPECT_MILLIS + 10)).contains("a");
    }

    @Test
    void testRestartedCandidateIsSuspectedUntilItReports() {
        selector.candidates(List.of("a", "b", "c"));
        selector.choose("c", 0);
        selector.choose("c", SUSPECT_MILLIS);
        selector.candidates(List.of("a", "b", "c"));
        assertThat(selector.choose("c", SUSPECT_MILLIS)).contains("b");
    }

    @Test
    void testNoCandidateOfAnotherDomainIsChosenIfAllAreSilent() {
        selector.candidates(List.of("a"));
        assertThat(selector.choose("z", 0)).contains("a");
        assertThat(selector.choose("z", SUSPECT_MILLIS)).isEmpty();
        selector.recordRelay("a", SUSPECT_MILLIS + 1);
        assertThat(selector.choose("z", SUSPECT_MILLIS + 2)).contains("a");
    }
}
