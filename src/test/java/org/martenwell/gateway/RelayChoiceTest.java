package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which gateway is taken for a relay. */
final class RelayChoiceTest {

    /** Longer than a relay may be silent, in milliseconds. */
    private static final long SILENT = 701;

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
        assertThat(choice.choose("c", SILENT)).contains("b");
        assertThat(choice.choose("c", SILENT + 1)).contains("b");
        assertThat(choice.choose("c", 2 * SILENT)).contains("c");
        assertThat(choice.choose("c", 9 * SILENT)).contains("c");
    }

    @Test
    void testSuspectedCandidateIsChosenAgainOnceItIsHeard() {
        choice.candidates(List.of("a", "b"));
        choice.choose("b", 0);
        assertThat(choice.choose("b", SILENT)).contains("b");
        choice.heard("a", SILENT + 5);
        assertThat(choice.choose("b", SILENT + 10)).contains("a");
    }

    @Test
    void testRestartedCandidateIsSuspectedUntilItIsHeard() {
        choice.candidates(List.of("a", "b", "c"));
        choice.choose("c", 0);
        choice.choose("c", SILENT);
        choice.candidates(List.of("a", "b", "c"));
        assertThat(choice.choose("c", SILENT)).contains("b");
    }

    @Test
    void testNobodyIsChosenAmongForeignCandidatesThatAreAllSilent() {
        choice.candidates(List.of("a"));
        assertThat(choice.choose("z", 0)).contains("a");
        assertThat(choice.choose("z", SILENT)).isEmpty();
        choice.heard("a", SILENT + 1);
        assertThat(choice.choose("z", SILENT + 2)).contains("a");
    }
}
