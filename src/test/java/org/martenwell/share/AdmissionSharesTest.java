package org.martenwell.share;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Checks how a gateway at its limits divides what it admits. */
final class AdmissionSharesTest {

    private static final long NOW_MILLIS = 10_000;

    /** The tokens per second that organisations are served at other gateways. */
    private final Map<String, Double> elsewhere = new HashMap<>();

    private final AdmissionShares shares =
            new AdmissionShares(name -> elsewhere.getOrDefault(name, 0.0));

    @Test
    void testNothingIsRefusedWithinTheLimits() {
        request("large", 100_000);
        assertThat(refused("large", 0)).isZero();
    }

    @Test
    void testOneOrganisationIsRefusedTheWholeFraction() {
        request("large", 100_000);
        assertThat(refused("large", 0.9)).isCloseTo(0.9, within(1e-9));
    }

    @Test
    void testSmallOrganisationIsNotRefusedBesideALargeOne() {
        request("large", 95_000);
        request("small", 5_000);
        assertThat(refused("small", 0.9)).isCloseTo(0, within(1e-9));
        assertThat(refused("large", 0.9)).isCloseTo(1 - 5.0 / 95, within(1e-9));
    }

    @Test
    void testServiceAtOtherGatewaysCounts() {
        elsewhere.put("spread", 40_000.0);
        request("spread", 50_000);
        request("here", 50_000);
        assertThat(refused("here", 0.6)).isCloseTo(0.2, within(1e-9));
        assertThat(refused("spread", 0.6)).isCloseTo(1, within(1e-9));
    }

    @Test
    void testAllIsRefusedWithoutAnyRoom() {
        request("large", 95_000);
        request("small", 5_000);
        assertThat(refused("small", 1)).isCloseTo(1, within(1e-9));
    }

    @Test
    void testOrganisationsAreForgotten() {
        request("large", 95_000);
        shares.requested("small", 5_000, NOW_MILLIS + 2_000);
        assertThat(shares.refusedFraction("small", 0.5, NOW_MILLIS + 2_000))
                .isCloseTo(0.5, within(1e-9));
    }

    private void request(String organisation, double tokens) {
        shares.requested(organisation, tokens, NOW_MILLIS);
    }

    private double refused(String organisation, double fraction) {
        return shares.refusedFraction(organisation, fraction, NOW_MILLIS);
    }
}
