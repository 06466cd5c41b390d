package org.martenwell.share;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

final class AllowanceTest {

    private static final long WINDOW = 4_000;

    @Test
    void testWhatWasTakenBeforeIsNotLeft() {
        assertThat(new Allowance(100, 30, 0).used()).isCloseTo(0.3, within(1e-9));
        assertThat(new Allowance(100, 300, 0).used()).isGreaterThan(1);
    }

    @Test
    void testRequestMayOverdrawAndLaterOnesWaitUntilThatIsMadeUpFor() {
        Allowance allowance = new Allowance(100, 90, 0);
        allowance.take(60);
        assertThat(allowance.used()).isGreaterThan(1);
        allowance.refill(100, WINDOW, WINDOW / 2);
        assertThat(allowance.used()).isGreaterThan(1);
        allowance.refill(100, WINDOW, WINDOW);
        assertThat(allowance.used()).isCloseTo(0.5, within(1e-9));
    }

    @Test
    void testNoMoreThanAWindowIsSavedUp() {
        Allowance allowance = new Allowance(100, 0, 0);
        allowance.refill(100, WINDOW, 100 * WINDOW);
        allowance.take(100);
        assertThat(allowance.used()).isGreaterThan(1);
    }

    @Test
    void testWhatIsGivenBackIsLeftAgain() {
        Allowance allowance = new Allowance(100, 0, 0);
        allowance.take(70);
        allowance.take(-70);
        assertThat(allowance.used()).isZero();
    }

    @Test
    void testNothingMayBeTakenOfNothing() {
        assertThat(new Allowance(0, 0, 0).used()).isGreaterThan(1);
    }
}
