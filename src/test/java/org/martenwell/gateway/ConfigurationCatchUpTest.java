package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests when a newer configuration is requested from a peer. */
final class ConfigurationCatchUpTest {

    private final ConfigurationCatchUp catchUp = new ConfigurationCatchUp();

    @Test
    void testGatewayWithoutConfigurationRequestsItFromTheFirstPeerOnly() {
        assertThat(catchUp.shouldRequest(4, 0, 10)).isTrue();
        assertThat(catchUp.shouldRequest(4, 0, 11)).isFalse();
        assertThat(catchUp.shouldRequest(4, 0, 300)).isTrue();
    }

    @Test
    void testNoRequestWithinTheGracePeriodOfTheStore() {
        assertThat(catchUp.shouldRequest(5, 4, 1_000)).isFalse();
        assertThat(catchUp.shouldRequest(5, 4, 1_050)).isFalse();
        assertThat(catchUp.shouldRequest(5, 5, 1_200)).isFalse();
    }

    @Test
    void testRequestGoesToOnePeerAfterTheGracePeriod() {
        assertThat(catchUp.shouldRequest(5, 4, 1_000)).isFalse();
        assertThat(catchUp.shouldRequest(5, 4, 1_130)).isTrue();
        assertThat(catchUp.shouldRequest(6, 4, 1_140)).isFalse();
        assertThat(catchUp.shouldRequest(6, 4, 1_340)).isTrue();
    }

    @Test
    void testEachNewVersionHasItsOwnGracePeriod() {
        assertThat(catchUp.shouldRequest(5, 4, 1_000)).isFalse();
        assertThat(catchUp.shouldRequest(6, 5, 9_000)).isFalse();
        assertThat(catchUp.shouldRequest(6, 5, 9_130)).isTrue();
    }

    @Test
    void testSeriesOfChangesDoesNotDelayTheRequest() {
        assertThat(catchUp.shouldRequest(5, 4, 1_000)).isFalse();
        assertThat(catchUp.shouldRequest(6, 4, 1_100)).isFalse();
        assertThat(catchUp.shouldRequest(7, 4, 1_200)).isTrue();
    }
}
