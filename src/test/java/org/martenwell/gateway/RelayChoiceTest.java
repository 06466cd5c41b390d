package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the selection of relays. */
final class RelayChoiceTest {

    /** Longer than a selected relay may be silent, in milliseconds. */
    private static final long SUSPECT_MILLIS = 701;

    private final RelayChoice choice = new RelayChoice();

    @Test
    void testFirstCandidateIsChosenWhileItIsHeard() {
        choice.candidates(List.of("a", "b", "c"));
        for (long now = 0; now < 5_000; now += 100) {
            choice.heard("a", now);
            assertThat(choice.choose("c", now)).contains("a");
        }
    }

    @Test
    void testSilentCandidatesAreSkippedOneByOneUpToThisGateway() {
        choice.candidates(List.of("a", "b", "c"));
        assertThat(choice.choose("c", 0)).contains("a");
        assertThat(choice.choose("c", SUSPECT_MILLIS)).contains("b");
        assertThat(choice.choose("c", SUSPECT_MILLIS + 1)).contains("b");
        assertThat(choice.choose("c", 2 * SUSPECT_MILLIS)).contains("c");
        assertThat(choice.choose("c", 9 * SUSPECT_MILLIS)).contains("c");
    }

    @Test
    void testSuspectedCandidateIsChosenAgainOnceItIsHeard() {
        choice.candidates(List.of("a", "b"));
        choice.choose("b", 0);
        assertThat(choice.choose("b", SUSPECT_MILLIS)).contains("b");
        choice.heard("a", SUSPECT_MILLIS + 5);
        assertThat(choice.choose("b", SUSPECT_MILLIS + 10)).contains("a");
    }

    @Test
    void testRestartedCandidateIsSuspectedUntilItIsHeard() {
        choice.candidates(List.of("a", "b", "c"));
        choice.choose("c", 0);
        choice.choose("c", SUSPECT_MILLIS);
        choice.candidates(List.of("a", "b", "c"));
        assertThat(choice.choose("c", SUSPECT_MILLIS)).contains("b");
    }

    @Test
    void testNoCandidateOfAnotherDomainIsChosenIfAllAreSilent() {
        choice.candidates(List.of("a"));
        assertThat(choice.choose("z", 0)).contains("a");
        assertThat(choice.choose("z", SUSPECT_MILLIS)).isEmpty();
        choice.heard("a", SUSPECT_MILLIS + 1);
        assertThat(choice.choose("z", SUSPECT_MILLIS + 2)).contains("a");
    }
}
