package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.activej.eventloop.Eventloop;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against a gateway on a small box that accepts every request and serves all of them late,
 * while other gateways are idle.
 */
final class LoopLagLimiterTest {

    /** The sample interval of a loop without lag, in milliseconds. */
    private static final long SAMPLE_MILLIS = 25;

    private long nowMillis = 1_000;

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    private final LoopLagLimiter limiter = new LoopLagLimiter(loop);

    @Test
    void testNoRefusalWithoutLag() {
        run(100, 5);
        assertThat(limiter.refusedFraction()).isZero();
        assertThat(refused()).isZero();
    }

    @Test
    void testNoRefusalAfterASinglePause() {
        run(20, 0);
        run(1, 140);
        assertThat(limiter.refusedFraction()).isZero();
        assertThat(limiter.takeMaxLagMillis()).isEqualTo(140);
        assertThat(limiter.takeMaxLagMillis()).isZero();
    }

    /** The loop itself is punctual while connections wait, since it reads a few an iteration. */
    @Test
    void testRefusalsGrowWithTheWaitOfNewConnections() {
        limiter.observeUnread(() -> 80);
        run(60, 0);
        assertThat(limiter.refusedFraction()).isCloseTo(0.5, within(0.02));
        limiter.observeUnread(() -> 0);
        run(60, 0);
        assertThat(limiter.refusedFraction()).isZero();
    }

    @Test
    void testRefusalsGrowWithTheLag() {
        run(60, 80);
        assertThat(limiter.refusedFraction()).isCloseTo(0.5, within(0.02));
        assertThat(refused()).isBetween(400, 600);
        run(60, 2_000);
        assertThat(limiter.refusedFraction()).isCloseTo(0.95, within(1e-9));
    }

    @Test
    void testNoRefusalAfterTheLagEnds() {
        run(60, 2_000);
        run(60, 0);
        assertThat(refused()).isZero();
    }

    /**
     * Offers twice the load that the box can serve: about half is refused, and the lag stays below
     * a short latency objective.
     */
    @Test
    void testOverloadedLoopSettles() {
        double backlogMillis = 0;
        for (int sample = 0; sample < 400; sample++) {
            double taken = 1 - limiter.refusedFraction();
            backlogMillis =
                    Math.max(0, backlogMillis + (2 * taken - 1) * (SAMPLE_MILLIS + backlogMillis));
            backlogMillis = Math.min(backlogMillis, 5_000);
            run(1, Math.round(backlogMillis));
        }
        assertThat(limiter.refusedFraction()).isBetween(0.4, 0.6);
        assertThat(backlogMillis).isLessThan(125);
    }

    /** Simulates a number of samples, each with the given lag. */
    private void run(int samples, long lagMillis) {
        if (nowMillis == 1_000) {
            loop.post(limiter::start);
            loop.run();
        }
        for (int sample = 0; sample < samples; sample++) {
            loop.post(() -> {});
            nowMillis += SAMPLE_MILLIS + lagMillis;
            loop.run();
        }
    }

    private int refused() {
        Random random = new Random(1);
        int refused = 0;
        for (int request = 0; request < 1_000; request++) {
            refused += random.nextDouble() < limiter.refusedFraction() ? 1 : 0;
        }
        return refused;
    }
}
