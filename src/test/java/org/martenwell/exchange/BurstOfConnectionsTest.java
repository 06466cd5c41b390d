package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.service.BusyLoop;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;

/** Guards against requests that go on for callers who left while many new ones arrived. */
final class BurstOfConnectionsTest {

    private static final int NEW_CALLERS = 200;

    /** The most requests of others that may be handled before a caller's leave is noticed. */
    private static final int MAX_HANDLED = 50;

    private static final String LEAVING = "/leaving";

    private final EventLoopThread thread = EventLoopThread.start("test-burst");

    private final InetSocketAddress address = IpAddress.of(LoopbackPorts.free(1).get(0));

    /** Released when the request of the leaving caller is in progress. */
    private final Semaphore inProgress = new Semaphore(0);

    /** Released when it is noticed that this caller left. */
    private final Semaphore noticed = new Semaphore(0);

    /** The number of requests of new callers that were handled. */
    private final AtomicInteger handled = new AtomicInteger();

    private final AtomicInteger handledBefore = new AtomicInteger();

    /** Runs on the event loop before the first request of a new caller is handled. */
    private Runnable atFirst = () -> {};

    /** The time that the handling of a request takes, in milliseconds. */
    private volatile long handlingMillis;

    private CallerServer server;

    @BeforeEach
    void start() {
        server = new CallerServer(thread.loop(), address, this::handle);
        thread.call(server::start);
    }

    @AfterEach
    void stop() {
        thread.call(server::stop);
        thread.stop();
    }

    @Test
    void testLeaveOfACallerIsNoticedBeforeAllNewRequestsAreHandled() throws Exception {
        RawHttpClient leaving = new RawHttpClient(address);
        leaving.send(request(LEAVING));
        assertThat(inProgress.tryAcquire(5, TimeUnit.SECONDS)).isTrue();
        atFirst = () -> close(leaving);
        List<RawHttpClient> callers = sendBurst();
        assertThat(noticed.tryAcquire(5, TimeUnit.SECONDS)).isTrue();
        assertThat(handledBefore).hasValueLessThan(MAX_HANDLED);
        for (RawHttpClient each : callers) {
            assertThat(each.readUntil("\r\n\r\n")).startsWith("HTTP/1.1 200");
            each.close();
        }
        assertThat(handled).hasValue(NEW_CALLERS);
    }

    @Test
    void testRequestsThatWaitAreRefusedAtTheStop() throws Exception {
        atFirst = () -> thread.loop().post(server::stop);
        for (RawHttpClient each : sendBurst()) {
            assertThat(each.readUntil("\r\n\r\n")).containsAnyOf(" 200 ", " 503 ");
            each.close();
        }
        assertThat(handled).hasValueLessThan(MAX_HANDLED);
    }

    /** A caller that can't be served in time learns it soon. */
    @Test
    void testCallersOfABusyServerAreRefusedUnread() throws Exception {
        handlingMillis = 20;
        int refused = 0;
        for (RawHttpClient each : sendBurst()) {
            String response = each.readAll();
            if (response.contains(" 503 ")) {
                assertThat(response).contains("retry-after: 0.1", "connection: close");
                refused++;
            } else {
                assertThat(response).contains(" 200 ");
            }
            each.close();
        }
        assertThat(refused).isPositive().isLessThan(NEW_CALLERS);
        assertThat(server.refusedUnread()).isEqualTo(refused);
    }

    @Test
    void testAgeOfUnreadConnectionsIsKnown() throws Exception {
        assertThat(server.unreadMillis()).isZero();
        AtomicInteger open = new AtomicInteger();
        atFirst = () -> open.set(server.connections());
        for (RawHttpClient each : sendBurst()) {
            each.readUntil("\r\n\r\n");
            each.close();
        }
        assertThat(open).hasValue(NEW_CALLERS);
        assertThat(server.unreadMillis()).isZero();
    }

    /**
     * Sends a request of each new caller, of which the event loop reads none before all arrived.
     */
    private List<RawHttpClient> sendBurst() throws IOException {
        CountDownLatch entered = new CountDownLatch(1);
        CountDownLatch blocked = new CountDownLatch(1);
        List<RawHttpClient> callers = new ArrayList<>();
        thread.loop()
                .execute(
                        () -> {
                            entered.countDown();
                            awaitUninterrupted(blocked);
                        });
        awaitUninterrupted(entered);
        for (int caller = 0; caller < NEW_CALLERS; caller++) {
            callers.add(new RawHttpClient(address).send(request("/new")));
        }
        blocked.countDown();
        return callers;
    }

    private static String request(String path) {
        return "GET " + path + " HTTP/1.1|Host: x||";
    }

    private void handle(CallerExchange exchange) {
        if (exchange.request().target().equals(LEAVING)) {
            exchange.onDisconnect(this::left);
            inProgress.release();
            return;
        }
        if (handled.getAndIncrement() == 0) {
            atFirst.run();
        }
        BusyLoop.block(handlingMillis);
        exchange.respondAndClose(
                200, DefaultHttpHeadersFactory.headersFactory().newHeaders(), new byte[0]);
    }

    private void left() {
        handledBefore.set(handled.get());
        noticed.release();
    }

    private static void close(RawHttpClient client) {
        try {
            client.close();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static void awaitUninterrupted(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
