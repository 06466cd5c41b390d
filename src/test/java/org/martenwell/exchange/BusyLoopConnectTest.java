package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.Promise;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.martenwell.service.EventLoopThread;

/**
 * Guards against a busy event loop that fails each connection which it opens, since its timeouts
 * fire before it sees that the target accepted.
 */
final class BusyLoopConnectTest {

    private static final long CONNECT_TIMEOUT_MILLIS = 400;

    /** Longer than the timeout of a connection, in milliseconds. */
    private static final long BUSY_MILLIS = 700;

    /** Ends a test whose connection neither opens nor fails, in seconds. */
    private static final long LIMIT_SECONDS = 10;

    private final EventLoopThread thread = EventLoopThread.start("busy-loop");

    private final BlockingQueue<ConnectResult> results = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() {
        thread.stop();
    }

    @Test
    void testConnectionOfABusyLoopIsOpened() throws Exception {
        try (RawTarget target = new RawTarget(RawTarget.Ending.KEEP)) {
            probe(target.address(), BUSY_MILLIS);
            assertThat(results.poll(LIMIT_SECONDS, TimeUnit.SECONDS))
                    .isEqualTo(ConnectResult.ACCEPTED);
        }
    }

    /** A listener whose queue is full doesn't answer. */
    @Test
    void testTargetThatDoesNotAnswerTimesOut() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = (InetSocketAddress) full.getLocalSocketAddress();
            for (int connection = 0; connection < 4; connection++) {
                probe(address, 0);
            }
            List<ConnectResult> outcomes = new ArrayList<>();
            for (int connection = 0; connection < 4; connection++) {
                outcomes.add(results.poll(LIMIT_SECONDS, TimeUnit.SECONDS));
            }
            assertThat(outcomes).contains(ConnectResult.UNREACHABLE);
        }
    }

    private void probe(InetSocketAddress address, long busyMillis) {
        thread.call(
                () -> {
                    new TargetConnections(
                                    thread.loop(),
                                    address,
                                    CONNECT_TIMEOUT_MILLIS,
                                    KeepAlive.NONE,
                                    ResponseHeadListener.NONE)
                            .probe(results::add);
                    block(busyMillis);
                    return Promise.complete();
                });
    }

    private static void block(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new AssertionError(exception);
        }
    }
}
