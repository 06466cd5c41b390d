package org.martenwell.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.martenwell.service.Conditions.await;

import io.activej.promise.Promise;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.martenwell.message.PeerMessage;
import org.martenwell.service.BusyLoop;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.LoopbackPorts;

/**
 * Guards against a busy event loop that closes the connections to all of its peers, since their
 * timeouts fire before it reads the keep-alives.
 */
final class BusyLoopPeerTest {

    /** Longer than the time without keep-alives that ends a connection, in milliseconds. */
    private static final long BUSY_MILLIS = 2_900;

    private static final long SETTLE_MILLIS = 500;

    private final EventLoopThread peerThread = EventLoopThread.start("punctual-peer");

    private final EventLoopThread thread = EventLoopThread.start("busy-peers");

    private final String peerAddress = LoopbackPorts.free(1).get(0);

    private final CountingListener listener = new CountingListener();

    private final PeerNetwork peer =
            new PeerNetwork(
                    peerThread.loop(), peerAddress, "key", new Random(1), new CountingListener());

    private final PeerNetwork network =
            new PeerNetwork(
                    thread.loop(), LoopbackPorts.free(1).get(0), "key", new Random(2), listener);

    @AfterEach
    void stop() {
        thread.call(network::stop);
        peerThread.call(peer::stop);
        thread.stop();
        peerThread.stop();
    }

    @Test
    void testConnectionOfABusyLoopStaysOpen() {
        peerThread.call(peer::start);
        thread.loop().execute(() -> network.setPeers(Map.of("p", peerAddress)));
        await(this::connected);
        thread.loop().execute(() -> BusyLoop.block(BUSY_MILLIS));
        assertThat(connected()).isTrue();
        BusyLoop.block(SETTLE_MILLIS);
        assertThat(connected()).isTrue();
        assertThat(listener.connections).hasValue(1);
    }

    private boolean connected() {
        return thread.call(() -> Promise.of(network.connected("p")));
    }

    /** Counts the connections that were established. */
    private static final class CountingListener implements PeerListener {

        private final AtomicInteger connections = new AtomicInteger();

        @Override
        public void receive(PeerMessage message) {}

        @Override
        public void peerConnected(String peer) {
            connections.incrementAndGet();
        }
    }
}
