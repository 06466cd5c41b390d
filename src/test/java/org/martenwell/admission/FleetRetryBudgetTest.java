package org.martenwell.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class FleetRetryBudgetTest {

    @Test
    void testNoAllowanceDuringTheFirstWindow() {
        FleetRetryBudget budget = new FleetRetryBudget(0.2, 50, 10_000, 0);
        assertThat(budget.takeRetry(1, 100)).isFalse();
        assertThat(taken(budget, 1, 10_100)).isEqualTo(35);
    }

    @Test
    void testAllowanceIsSplitAmongMembers() {
        FleetRetryBudget budget = new FleetRetryBudget(0.2, 50, 10_000, 0);
        assertThat(taken(budget, 7, 20_000)).isEqualTo(5);
    }

    @Test
    void testShareCountsRequestsWithinTheWindow() {
        FleetRetryBudget budget = new FleetRetryBudget(0.2, 0, 10_000, 0);
        for (int count = 0; count < 100; count++) {
            budget.countFirstAttempt(1_000);
        }
        assertThat(taken(budget, 1, 1_000)).isEqualTo(14);
        assertThat(taken(budget, 1, 5_000)).isZero();
        assertThat(taken(budget, 1, 12_000)).isZero();
    }

    private static int taken(FleetRetryBudget budget, int members, long now) {
        int taken = 0;
        while (budget.takeRetry(members, now)) {
            taken++;
        }
        return taken;
    }
}
