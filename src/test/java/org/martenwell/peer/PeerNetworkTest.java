package org.martenwell.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.martenwell.message.PeerMessage;
import org.martenwell.service.Conditions;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;

/** Tests that connections that no longer deliver data are detected and replaced. */
final class PeerNetworkTest {

    /** The read timeout of the test's socket, in milliseconds. */
    private static final int READ_MILLIS = 30_000;

    private final EventLoopThread thread = EventLoopThread.start("test-peers");

    private final String address = LoopbackPorts.free(1).get(0);

    private final PeerNetwork network =
            new PeerNetwork(thread.loop(), address, "key", new Random(1), new IgnoringListener());

    @AfterEach
    void stop() {
        thread.call(network::stop);
        thread.stop();
    }

    @Test
    void testConnectionWithoutKeepAlivesIsReopened() throws IOException {
        try (SilentPeer peer = new SilentPeer(new byte[FrameCodec.NONCE_BYTES])) {
            thread.loop().execute(() -> network.setPeers(Map.of("p", peer.address())));
            Conditions.await(() -> peer.connections() > 1);
        }
    }

    @Test
    void testConnectionWithoutNonceIsReopened() throws IOException {
        try (SilentPeer peer = new SilentPeer(new byte[0])) {
            thread.loop().execute(() -> network.setPeers(Map.of("p", peer.address())));
            Conditions.await(() -> peer.connections() > 1);
        }
    }

    @Test
    void testServerSendsKeepAlivesAfterTheNonce() throws IOException {
        thread.call(network::start);
        InetSocketAddress server = IpAddress.of(address);
        try (Socket socket = new Socket(server.getAddress(), server.getPort())) {
            socket.setSoTimeout(READ_MILLIS);
            int expected = FrameCodec.NONCE_BYTES + 2;
            assertThat(socket.getInputStream().readNBytes(expected)).hasSize(expected);
        }
    }

    /** Ignores all events. */
    private static final class IgnoringListener implements PeerListener {

        @Override
        public void receive(PeerMessage message) {}

        @Override
        public void peerConnected(String peer) {}
    }
}
