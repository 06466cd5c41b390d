package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.martenwell.service.Conditions.await;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.martenwell.service.BusyLoop;

/**
 * Guards against a busy event loop that replaces relays which it has not read from for the time of
 * its own delay.
 */
final class BusyLoopReportsTest {

    /** More gateways than a mesh has. */
    private static final int SIZE = 18;

    private static final int DOMAINS = 2;

    /** Connections of each gateway to its relay, and of the two relays to each other and back. */
    private static final int CONNECTIONS = 2 * (SIZE - DOMAINS) + DOMAINS;

    /** Longer than the silence after which a relay is suspected, in milliseconds. */
    private static final long BUSY_MILLIS = 1_400;

    private static final int SAMPLES = 100;

    private static final long SAMPLE_INTERVAL_MILLIS = 10;

    private final ReporterFleet fleet = new ReporterFleet(SIZE, List.of("x", "y"));

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void testRelaysOfABusyLoopAreKept() {
        fleet.connect();
        await(this::relaysAreChosen);
        fleet.run(() -> BusyLoop.block(BUSY_MILLIS));
        for (int sample = 0; sample < SAMPLES; sample++) {
            assertThat(connections()).isEqualTo(CONNECTIONS);
            BusyLoop.block(SAMPLE_INTERVAL_MILLIS);
        }
    }

    /** Returns whether the connections stay as they are with one relay in each failure domain. */
    private boolean relaysAreChosen() {
        for (int sample = 0; sample < SAMPLES; sample++) {
            if (connections() != CONNECTIONS) {
                return false;
            }
            BusyLoop.block(SAMPLE_INTERVAL_MILLIS);
        }
        return true;
    }

    private int connections() {
        AtomicInteger sum = new AtomicInteger();
        fleet.run(
                () ->
                        sum.set(
                                fleet.running().stream()
                                        .mapToInt(each -> connectionsOf(fleet.core(each)))
                                        .sum()));
        return sum.get();
    }

    private static int connectionsOf(GatewayCore core) {
        Object value = core.log().metrics().getGauges().get("peers_connected").getValue();
        return ((Long) value).intValue();
    }
}
