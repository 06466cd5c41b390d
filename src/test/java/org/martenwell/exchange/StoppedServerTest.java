package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;
import static org.martenwell.service.Conditions.await;

import io.activej.promise.Promise;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.observe.Defects;
import org.martenwell.service.BusyLoop;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;

/**
 * Guards against requests that are cut without an answer when a server stops or is full, and
 * against refusals that a reset destroys.
 */
final class StoppedServerTest {

    /** The time in which sent bytes arrive, in milliseconds. */
    private static final long ARRIVAL_MILLIS = 200;

    /**
     * The time that a shutdown leaves for the stop, in milliseconds. It is taken by a timer of the
     * loop, which waits for a processor as the stop does, and by the loop's processor time.
     */
    private static final long STOP_BOUND_MILLIS = 500;

    private static final String STOPPED = "stopped";

    private static final int LARGE_BYTES = 24 << 20;

    private static final String HEAD = "POST /a HTTP/1.1|Host: x|Content-Length: 50000000||";

    /** A part of a request that is too large to be read in one turn of the loop. */
    private static final String LARGE_PART = HEAD + "x".repeat(8 << 20);

    private final EventLoopThread thread = EventLoopThread.start("stopped-server");

    private final InetSocketAddress address = IpAddress.of(LoopbackPorts.free(1).get(0));

    private final List<String> handled = new CopyOnWriteArrayList<>();

    /** The exchanges that are not answered. */
    private final BlockingQueue<CallerExchange> held = new LinkedBlockingQueue<>();

    private CallerServer server;

    @BeforeEach
    void start() {
        server = new CallerServer(thread.loop(), address, this::handle);
        server.setLimits(new ConnectionLimits(1_024, 64 << 20, 60_000, 60_000));
        thread.call(server::start);
    }

    @AfterEach
    void stop() {
        thread.call(server::stop);
        thread.stop();
    }

    @Test
    void testRequestThatIsReadAtTheStopIsRefusedAndNotHandedOn() throws Exception {
        try (RawHttpClient client = usedConnection()) {
            blockLoopBefore(server::stop);
            client.send("GET /late HTTP/1.1|Host: x||");
            assertRefused(client);
        }
        assertThat(handled).containsExactly("/first");
    }

    @Test
    void testRefusalAtTheStopIsNotDestroyedByAReset() throws Exception {
        try (RawHttpClient client = usedConnection()) {
            blockLoopBefore(server::stop);
            client.send(LARGE_PART);
            assertRefused(client);
        }
    }

    @Test
    void testStopEndsWithACallerThatNeitherReadsNorCloses() throws Exception {
        try (RawHttpClient refused = usedConnection();
                RawHttpClient slow = new RawHttpClient(address)) {
            refused.send(HEAD + "x".repeat(600));
            slow.send("GET /large HTTP/1.1|Host: x|Connection: close||");
            BusyLoop.block(ARRIVAL_MILLIS);
            List<String> ends = new CopyOnWriteArrayList<>();
            long startNanos = processorNanos();
            thread.call(
                    () -> {
                        thread.loop().delayBackground(STOP_BOUND_MILLIS, () -> addLate(ends));
                        return server.stop().whenResult(() -> ends.add(STOPPED));
                    });
            long usedNanos = processorNanos() - startNanos;
            assertThat(ends).startsWith(STOPPED);
            assertThat(Duration.ofNanos(usedNanos).toMillis()).isLessThan(STOP_BOUND_MILLIS);
            assertThat(connections()).isZero();
        }
    }

    /** Records the end of the bound behind the tasks that are due. */
    private void addLate(List<String> ends) {
        thread.loop().delayBackground(1, () -> ends.add("bound"));
    }

    /** Returns the processor time that the loop has used, in nanoseconds. */
    private long processorNanos() {
        return thread.call(
                () -> Promise.of(ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime()));
    }

    @Test
    void testStopWithoutRequestsEndsAtOnce() throws Exception {
        try (RawHttpClient idle = usedConnection()) {
            long startNanos = System.nanoTime();
            thread.call(server::stop);
            assertThat(Duration.ofNanos(System.nanoTime() - startNanos).toMillis())
                    .isLessThan(ARRIVAL_MILLIS);
            assertThat(idle.readAll()).isEmpty();
        }
    }

    @Test
    void testRefusalAtTheLimitOfConnectionsIsNotDestroyedByAReset() throws Exception {
        server.setMaxConnections(1);
        try (RawHttpClient busy = new RawHttpClient(address)) {
            busy.send("GET /wait HTTP/1.1|Host: x||");
            await(() -> handled.contains("/wait"));
            blockLoopBefore(() -> {});
            try (RawHttpClient client = new RawHttpClient(address)) {
                client.send(LARGE_PART);
                assertRefused(client);
            }
        }
    }

    @Test
    void testRequestBehindTheAcceptAtTheLimitIsRefused() throws Exception {
        server.setMaxConnections(1);
        try (RawHttpClient busy = new RawHttpClient(address)) {
            busy.send("GET /wait HTTP/1.1|Host: x||");
            await(() -> handled.contains("/wait"));
            try (RawHttpClient client = new RawHttpClient(address)) {
                BusyLoop.block(ARRIVAL_MILLIS);
                client.send("GET /late HTTP/1.1|Host: x||");
                assertRefused(client);
            }
        }
        assertThat(handled).containsExactly("/wait");
    }

    /** Guards against refused connections that use up the descriptors. */
    @Test
    void testRefusedConnectionsAreFew() throws Exception {
        server.setMaxConnections(1);
        List<RawHttpClient> clients = new CopyOnWriteArrayList<>();
        try (RawHttpClient busy = new RawHttpClient(address)) {
            busy.send("GET /wait HTTP/1.1|Host: x||");
            await(() -> handled.contains("/wait"));
            blockLoopBefore(() -> {});
            for (int count = 0; count < 20; count++) {
                clients.add(new RawHttpClient(address).send(HEAD + "x".repeat(600)));
            }
            BusyLoop.block(3 * ARRIVAL_MILLIS);
            assertThat(connections()).isOne();
            assertThat(server.closedAtLimit()).isGreaterThanOrEqualTo(19);
        } finally {
            for (RawHttpClient each : clients) {
                each.close();
            }
        }
    }

    /** Guards against a defect for each request that is answered after the server has stopped. */
    @Test
    void testAnswerAfterTheStopIsNoDefect() throws Exception {
        long before = Defects.count();
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /wait HTTP/1.1|Host: x||");
            CallerExchange waiting = held.take();
            thread.call(server::stop);
            thread.loop().submit(() -> answer(waiting)).get();
            assertThat(client.readAll())
                    .startsWith("HTTP/1.1 500")
                    .containsIgnoringCase("connection: close")
                    .doesNotContain("/wait")
                    .doesNotContain("(reset)");
        }
        assertThat(Defects.count()).isEqualTo(before);
    }

    private RawHttpClient usedConnection() throws Exception {
        RawHttpClient client = new RawHttpClient(address);
        client.send("GET /first HTTP/1.1|Host: x||").readUntil("/first");
        return client;
    }

    /** Blocks the loop for long enough that bytes arrive, and then runs an action first. */
    private void blockLoopBefore(Runnable action) throws InterruptedException {
        CountDownLatch begun = new CountDownLatch(1);
        thread.loop()
                .execute(
                        () -> {
                            begun.countDown();
                            BusyLoop.block(2 * ARRIVAL_MILLIS);
                            action.run();
                        });
        begun.await();
    }

    private static void assertRefused(RawHttpClient client) throws Exception {
        assertThat(client.readAll())
                .startsWith("HTTP/1.1 503")
                .containsIgnoringCase("connection: close")
                .doesNotContain("(reset)");
    }

    private int connections() {
        return thread.call(() -> Promise.of(server.connections()));
    }

    private void handle(CallerExchange exchange) {
        String path = exchange.request().path();
        handled.add(path);
        if (path.equals("/first")) {
            answer(exchange);
        } else if (path.equals("/large")) {
            exchange.respond(
                    200,
                    DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                    new byte[LARGE_BYTES]);
        } else {
            held.add(exchange);
        }
    }

    private static void answer(CallerExchange exchange) {
        exchange.respond(
                200,
                DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                exchange.request().path().getBytes(StandardCharsets.UTF_8));
    }
}
