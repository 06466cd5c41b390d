package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests when peers are asked for a newer configuration. */
final class ConfigurationCatchUpTest {

    private final ConfigurationCatchUp catchUp = new ConfigurationCatchUp();

    @Test
    void testGatewayWithoutConfigurationAsksTheFirstPeerAtOnceAndNoOther() {
        assertThat(catchUp.heard(4, 0, 10)).isTrue();
        assertThat(catchUp.heard(4, 0, 11)).isFalse();
        assertThat(catchUp.heard(4, 0, 300)).isTrue();
    }

    @Test
    void testStoreHasAHeadStart() {
        assertThat(catchUp.heard(5, 4, 1_000)).isFalse();
        assertThat(catchUp.heard(5, 4, 1_050)).isFalse();
        assertThat(catchUp.heard(5, 5, 1_200)).isFalse();
    }

    @Test
    void testGatewayThatTheStoreDoesNotTellAsksOnePeer() {
        assertThat(catchUp.heard(5, 4, 1_000)).isFalse();
        assertThat(catchUp.heard(5, 4, 1_130)).isTrue();
        assertThat(catchUp.heard(6, 4, 1_140)).isFalse();
        assertThat(catchUp.heard(6, 4, 1_340)).isTrue();
    }

    @Test
    void testEachNewVersionHasItsOwnHeadStart() {
        assertThat(catchUp.heard(5, 4, 1_000)).isFalse();
        assertThat(catchUp.heard(6, 5, 9_000)).isFalse();
        assertThat(catchUp.heard(6, 5, 9_130)).isTrue();
    }

    @Test
    void testSeriesOfChangesDoesNotPutTheQuestionOff() {
        assertThat(catchUp.heard(5, 4, 1_000)).isFalse();
        assertThat(catchUp.heard(6, 4, 1_100)).isFalse();
        assertThat(catchUp.heard(7, 4, 1_200)).isTrue();
    }
}
