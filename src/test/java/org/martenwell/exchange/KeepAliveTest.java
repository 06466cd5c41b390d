package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import jdk.net.ExtendedSocketOptions;
import org.junit.jupiter.api.Test;

final class KeepAliveTest {

    @Test
    void testProbedConnectionDetectsADeadPeerWithinTwoSeconds() throws IOException {
        try (SocketChannel channel = SocketChannel.open()) {
            KeepAlive.PROBED.apply(channel);
            assertThat(channel.getOption(StandardSocketOptions.SO_KEEPALIVE)).isTrue();
            assertThat(channel.getOption(ExtendedSocketOptions.TCP_KEEPIDLE)).isEqualTo(1);
            assertThat(channel.getOption(ExtendedSocketOptions.TCP_KEEPINTERVAL)).isEqualTo(1);
            assertThat(channel.getOption(ExtendedSocketOptions.TCP_KEEPCOUNT)).isEqualTo(1);
        }
    }

    @Test
    void testConnectionWithoutProbesHasNoKeepAlive() throws IOException {
        try (SocketChannel channel = SocketChannel.open()) {
            KeepAlive.NONE.apply(channel);
            assertThat(channel.getOption(StandardSocketOptions.SO_KEEPALIVE)).isFalse();
        }
    }
}
