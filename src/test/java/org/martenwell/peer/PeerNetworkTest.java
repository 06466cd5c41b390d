package org.martenwell.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.martenwell.message.PeerMessage;
import org.martenwell.service.Conditions;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;

/** Tests that connections that no longer deliver data are detected and replaced. */
final class PeerNetworkTest {

    /** The read timeout of the test's socket, in milliseconds. */
    private static final int READ_MILLIS = 30_000;

    /** The messages sent at once, more than a frame can hold. */
    private static final int LARGE_MESSAGES = 30;

    private static final int LARGE_BYTES = 100_000;

    private static final long SLOW_PASS_MILLIS = 5_000;

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

    /** Guards against a peer whose invalid address ends the messages to all others. */
    @ParameterizedTest
    @ValueSource(strings = {"", "p", "127.0.0.1:65536", "127.0.0.1:-1", "[::1", "host:1"})
    void testPeersAreConnectedBesideOneWithAnInvalidAddress(String invalid) throws IOException {
        try (SilentPeer peer = new SilentPeer(new byte[FrameCodec.NONCE_BYTES])) {
            Map<String, String> addresses = new TreeMap<>();
            addresses.put("a", invalid);
            addresses.put("p", peer.address());
            addresses.put("z", invalid);
            thread.call(
                    () -> {
                        network.setPeers(addresses);
                        network.setPeers(addresses);
                        return Promise.complete();
                    });
            Conditions.await(() -> network.connected("p"));
        }
    }

    /** Guards against a frame that the peer refuses to read for its size. */
    @Test
    void testMessagesThatExceedAFrameArriveInOrder() {
        try (Receiver receiver = new Receiver()) {
            connectTo(receiver);
            thread.loop().execute(() -> sendLargeMessages());
            Conditions.await(() -> receiver.ids().size() == LARGE_MESSAGES);
            assertThat(receiver.ids()).isSorted();
        }
    }

    /** Guards against requests that are offloaded when their callers have already left. */
    @Test
    void testMessageArrivesBeforeTheEndOfASlowPassOfTheLoop() {
        try (Receiver receiver = new Receiver()) {
            connectTo(receiver);
            boolean arrived =
                    thread.call(
                            () -> {
                                network.sendNow("p", message(1));
                                return Promise.of(receiver.arrivesWithin(SLOW_PASS_MILLIS));
                            });
            assertThat(arrived).isTrue();
        }
    }

    /** Guards against messages that a process drops when it stops behind its last request. */
    @Test
    void testPendingMessagesArriveBeforeTheStop() {
        try (Receiver receiver = new Receiver()) {
            connectTo(receiver);
            thread.call(
                    () -> {
                        sendLargeMessages();
                        return network.stop();
                    });
            Conditions.await(() -> receiver.ids().size() == LARGE_MESSAGES);
        }
    }

    /** Guards against requests that wait for messages which were lost with a connection. */
    @Test
    void testReceiverLearnsWhoseConnectionEnded() {
        try (Receiver receiver = new Receiver()) {
            connectTo(receiver);
            thread.loop().execute(() -> network.send("p", message(1)));
            Conditions.await(() -> receiver.ids().size() == 1);
            thread.loop().execute(() -> network.setPeers(Map.of()));
            Conditions.await(() -> receiver.lost().equals(List.of("sender")));
        }
    }

    private void connectTo(Receiver receiver) {
        thread.loop().execute(() -> network.setPeers(Map.of("p", receiver.address())));
        Conditions.await(() -> thread.call(() -> Promise.of(network.connected("p"))));
    }

    private void sendLargeMessages() {
        for (int id = 0; id < LARGE_MESSAGES; id++) {
            network.send("p", message(id));
        }
    }

    private static PeerMessage message(long id) {
        ByteBuffer body = ByteBuffer.allocate(LARGE_BYTES).asReadOnlyBuffer();
        return new OffloadedResponse("sender", List.of(ResponsePart.body(id, body)));
    }

    /** A network that records what it receives. */
    private static final class Receiver implements PeerListener, AutoCloseable {

        private final EventLoopThread thread = EventLoopThread.start("test-receiver");

        private final String address = LoopbackPorts.free(1).get(0);

        private final List<Long> ids = new CopyOnWriteArrayList<>();

        private final CountDownLatch first = new CountDownLatch(1);

        private final List<String> lost = new CopyOnWriteArrayList<>();

        private final PeerNetwork network =
                new PeerNetwork(thread.loop(), address, "key", new Random(1), this);

        Receiver() {
            thread.call(network::start);
        }

        String address() {
            return address;
        }

        List<Long> ids() {
            return ids;
        }

        /** Blocks until a message has arrived, or until a time has passed. */
        boolean arrivesWithin(long millis) {
            try {
                return first.await(millis, TimeUnit.MILLISECONDS);
            } catch (InterruptedException exception) {
                throw new AssertionError(exception);
            }
        }

        List<String> lost() {
            return lost;
        }

        @Override
        public void receive(PeerMessage message) {
            ((OffloadedResponse) message).parts().forEach(each -> ids.add(each.id()));
            first.countDown();
        }

        @Override
        public void peerConnected(String peer) {}

        @Override
        public void peerDisconnected(String peer) {
            lost.add(peer);
        }

        @Override
        public void close() {
            thread.call(network::stop);
            thread.stop();
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
