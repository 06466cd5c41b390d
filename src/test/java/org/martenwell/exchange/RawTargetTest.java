package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.junit.jupiter.api.Test;

/** Tests the raw target itself, on which the tests of connections rest. */
final class RawTargetTest {

    /** How often a port is closed, since the fault shows only now and then. */
    private static final int ROUNDS = 200;

    private static final int CONNECT_MILLIS = 5_000;

    @Test
    void testNoConnectionComesUpAfterClose() throws Exception {
        int connected = 0;
        for (int round = 0; round < ROUNDS; round++) {
            RawTarget target = new RawTarget(RawTarget.Ending.CLOSE, "");
            InetSocketAddress address = target.address();
            target.close();
            connected += connects(address) ? 1 : 0;
        }
        assertThat(connected).isZero();
    }

    private static boolean connects(InetSocketAddress address) {
        try (Socket socket = new Socket()) {
            socket.connect(address, CONNECT_MILLIS);
            // A port may be given to the connecting end itself, which then meets itself.
            return socket.getLocalPort() != address.getPort();
        } catch (IOException refused) {
            return false;
        }
    }
}
