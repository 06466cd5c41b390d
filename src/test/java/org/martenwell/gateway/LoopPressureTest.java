package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.activej.eventloop.Eventloop;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * All callers of a large organisation came to one gateway of 0.36 cores. It used all of them for
 * ten seconds, answered 0.1 to 2.4 s late or not at all, sent a hundredth of what it had sent
 * before, and the organisation got less than half of what another one got, while 50 gateways used a
 * tenth of their processors. It took in every request and refused none for being late itself.
 */
final class LoopPressureTest {

    /** The time between looks of a loop that is not behind, in milliseconds. */
    private static final long TICK = 25;

    private long nowMillis = 1_000;

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    private final LoopPressure pressure = new LoopPressure(loop, new Random(1));

    @Test
    void testLoopThatKeepsUpRefusesNobody() {
        run(100, 5);
        assertThat(pressure.part()).isZero();
        assertThat(refused()).isZero();
    }

    @Test
    void testOnePauseRefusesNobody() {
        run(20, 0);
        run(1, 140);
        assertThat(pressure.part()).isZero();
        assertThat(pressure.takeLongestMillis()).isEqualTo(140);
        assertThat(pressure.takeLongestMillis()).isZero();
    }

    @Test
    void testLoopThatIsBehindRefusesTheMoreTheLaterItIs() {
        run(60, 80);
        assertThat(pressure.part()).isCloseTo(0.5, within(0.02));
        assertThat(refused()).isBetween(400, 600);
        run(60, 2_000);
        assertThat(pressure.part()).isCloseTo(0.95, within(1e-9));
    }

    @Test
    void testLoopThatHasCaughtUpTakesAllRequestsAgain() {
        run(60, 2_000);
        run(60, 0);
        assertThat(refused()).isZero();
    }

    /**
     * A box with time for 500 requests a second is offered 1,000: it settles where it refuses about
     * half and is behind by less than a short objective.
     */
    @Test
    void testOverloadedLoopSettles() {
        double backlogMillis = 0;
        for (int look = 0; look < 400; look++) {
            double taken = 1 - pressure.part();
            backlogMillis = Math.max(0, backlogMillis + (2 * taken - 1) * (TICK + backlogMillis));
            backlogMillis = Math.min(backlogMillis, 5_000);
            run(1, Math.round(backlogMillis));
        }
        assertThat(pressure.part()).isBetween(0.4, 0.6);
        assertThat(backlogMillis).isLessThan(125);
    }

    /** Lets the loop look so many times, each so much later than it should. */
    private void run(int looks, long lateMillis) {
        if (nowMillis == 1_000) {
            loop.post(pressure::start);
            loop.run();
        }
        for (int look = 0; look < looks; look++) {
            loop.post(() -> {});
            nowMillis += TICK + lateMillis;
            loop.run();
        }
    }

    private int refused() {
        int refused = 0;
        for (int request = 0; request < 1_000; request++) {
            refused += pressure.refuses() ? 1 : 0;
        }
        return refused;
    }
}
