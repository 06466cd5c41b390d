package org.martenwell.peer;

import static org.martenwell.service.Conditions.await;

import io.activej.promise.Promise;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.message.PeerMessage;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.LoopbackPorts;

/**
 * Guards against peers that stay disconnected, and connections that stay registered, since an error
 * was thrown while a connection was processed.
 */
final class PeerDefectTest {

    private static final PeerMessage MESSAGE = new TargetNotice("target", true);

    private final EventLoopThread thread = EventLoopThread.start("peer-defects");

    private final List<String> addresses = LoopbackPorts.free(2);

    /** The number of the next events that fail. */
    private final AtomicInteger failures = new AtomicInteger();

    private final List<PeerMessage> received = new CopyOnWriteArrayList<>();

    private final PeerNetwork sender = network(0);

    private final PeerNetwork receiver = network(1);

    @BeforeEach
    void start() {
        thread.call(sender::start);
        thread.call(receiver::start);
    }

    @AfterEach
    void stop() {
        thread.call(sender::stop);
        thread.call(receiver::stop);
        thread.stop();
    }

    @Test
    void testPeerIsConnectedAgainAfterAnErrorAtItsConnection() {
        failures.set(1);
        connect();
        await(() -> failures.get() == 0);
        awaitDelivery();
        await(() -> accepted() == 1);
    }

    @Test
    void testPeerIsConnectedAgainAfterAnErrorAtAMessage() {
        connect();
        awaitDelivery();
        failures.set(1);
        send();
        await(() -> failures.get() == 0);
        awaitDelivery();
        await(() -> accepted() == 1);
    }

    private void connect() {
        thread.loop().execute(() -> sender.setPeers(Map.of("p", addresses.get(1))));
    }

    private void awaitDelivery() {
        received.clear();
        await(
                () -> {
                    send();
                    return !received.isEmpty();
                });
    }

    private void send() {
        thread.call(
                () -> {
                    sender.send("p", MESSAGE);
                    return Promise.complete();
                });
    }

    private int accepted() {
        return thread.call(() -> Promise.of(receiver.acceptedConnections()));
    }

    private PeerNetwork network(int index) {
        return new PeerNetwork(
                thread.loop(), addresses.get(index), "key", new Random(index), new Listener());
    }

    /** Fails as often as the test asks for. */
    private final class Listener implements PeerListener {

        @Override
        public void receive(PeerMessage message) {
            fail();
            received.add(message);
        }

        @Override
        public void peerConnected(String peer) {
            fail();
        }

        private void fail() {
            if (failures.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
                throw new OutOfMemoryError("deliberate");
            }
        }
    }
}
