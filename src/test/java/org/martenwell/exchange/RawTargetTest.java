package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.junit.jupiter.api.Test;

/** Guards against test flakiness from a raw target that accepts connections after its close. */
final class RawTargetTest {

    /** Repetitions, since the race is lost only rarely. */
    private static final int ROUNDS = 200;

    private static final int CONNECT_MILLIS = 5_000;

    @Test
    void testNoConnectionComesUpAfterClose() throws Exception {
        int connected = 0;
        for (int round = 0; round < ROUNDS; round++) {
            RawTarget target = new RawTarget(RawTarget.Ending.CLOSE, "");
            InetSocketAddress address = target.address();
            target.close();
            connected += canConnect(address) ? 1 : 0;
        }
        assertThat(connected).isZero();
    }

    private static boolean canConnect(InetSocketAddress address) {
        try (Socket socket = new Socket()) {
            socket.connect(address, CONNECT_MILLIS);
            // A TCP self-connect, possible if the client gets the closed port, doesn't count.
            return socket.getLocalPort() != address.getPort();
        } catch (IOException refused) {
            return false;
        }
    }
}
