package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.martenwell.service.Conditions.await;

import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against gateways that can't reach the store and get no configuration from peers either,
 * because their relay can't reach it itself.
 */
final class ForwardedConfigurationTest {

    /** More gateways than a mesh has. */
    private static final int SIZE = 24;

    private static final String CUT_DOMAIN = "y";

    /** The time in which all gateways must have a version, in milliseconds. */
    private static final long BOUND_MILLIS = 1_000;

    private final ReporterFleet fleet = new ReporterFleet(SIZE, List.of("x", CUT_DOMAIN, "z"));

    @BeforeEach
    void start() throws InterruptedException {
        fleet.provideConfiguration(1, name -> true);
        fleet.connect();
        // Lets all connections open and the relays settle.
        Thread.sleep(BOUND_MILLIS);
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void testRelayAndHalfOfItsDomainAreCutOff() {
        String relay = fleet.relayOf(CUT_DOMAIN);
        List<String> others =
                fleet.running().stream()
                        .filter(ForwardedConfigurationTest::inCutDomain)
                        .filter(name -> !name.equals(relay))
                        .limit(4)
                        .toList();
        provideToAllBut(name -> name.equals(relay) || others.contains(name));
    }

    @Test
    void testWholeDomainIsCutOff() {
        provideToAllBut(ForwardedConfigurationTest::inCutDomain);
    }

    @Test
    void testAllButOneGatewayAreCutOff() {
        String connected = fleet.running().iterator().next();
        provideToAllBut(name -> !name.equals(connected));
    }

    @Test
    void testRelayOfACutOffDomainStops() {
        fleet.stop(fleet.relayOf(CUT_DOMAIN));
        provideToAllBut(ForwardedConfigurationTest::inCutDomain, 2 * BOUND_MILLIS);
    }

    private void provideToAllBut(Predicate<String> cutOff) {
        provideToAllBut(cutOff, BOUND_MILLIS);
    }

    private void provideToAllBut(Predicate<String> cutOff, long boundMillis) {
        long startNanos = System.nanoTime();
        fleet.provideConfiguration(2, cutOff.negate());
        await(() -> fleet.allHaveConfiguration(2));
        assertThat(Duration.ofNanos(System.nanoTime() - startNanos).toMillis())
                .isLessThan(boundMillis);
    }

    private static boolean inCutDomain(String name) {
        return name.startsWith(CUT_DOMAIN);
    }
}
