package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.Promise;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;

/**
 * Guards against connections that are closed with a whole request on them, since the event loop
 * took its own delay for silence of the caller.
 */
final class LateLoopCallerTest {

    private static final long LATE_MILLIS = 1_400;

    /** The length of a pass beyond the idle timeout of {@link #SHORT_IDLE} and its margin. */
    private static final long LATE_PASS_MILLIS = 3_000;

    /** The time in which sent bytes arrive, in milliseconds. */
    private static final long ARRIVAL_MILLIS = 100;

    /** The interval at which a slow caller reads, in milliseconds. */
    private static final long READ_INTERVAL_MILLIS = 20;

    private static final int LARGE_BYTES = 24 << 20;

    private static final ConnectionLimits LONG = new ConnectionLimits(1_024, 2_048, 60_000, 60_000);

    private static final ConnectionLimits SHORT_IDLE =
            new ConnectionLimits(1_024, 2_048, 60_000, 1_000);

    private static final ConnectionLimits SHORT_REQUEST =
            new ConnectionLimits(1_024, 2_048, 400, 60_000);

    private static final String FIRST = "GET /first HTTP/1.1|Host: x||";

    private static final String SECOND = "GET /second HTTP/1.1|Host: x||";

    private static final String HEAD = "POST /second HTTP/1.1|Host: x|Content-Length: 1200||";

    private final EventLoopThread thread = EventLoopThread.start("late-loop");

    private final InetSocketAddress address = IpAddress.of(LoopbackPorts.free(1).get(0));

    private CallerServer server;

    @BeforeEach
    void start() {
        server = new CallerServer(thread.loop(), address, LateLoopCallerTest::handle);
        server.setLimits(LONG);
        thread.call(server::start);
    }

    @AfterEach
    void stop() {
        thread.call(server::stop);
        thread.stop();
    }

    @Test
    void testRequestWithinTheIdleTimeoutIsAnswered() throws Exception {
        server.setLimits(SHORT_IDLE);
        try (RawHttpClient client = usedConnection()) {
            sleep(800);
            assertAnswered(client.send(SECOND));
        }
    }

    @Test
    void testRequestWithinTheIdleTimeoutOfALateLoopIsAnswered() throws Exception {
        server.setLimits(SHORT_IDLE);
        try (RawHttpClient client = usedConnection()) {
            CountDownLatch late = delayLoop();
            client.send(SECOND);
            sleep(LATE_MILLIS);
            late.countDown();
            assertAnswered(client);
        }
    }

    /** A caller measures its rest from the end of a response that a late pass of the loop sent. */
    @Test
    void testRequestBehindAResponseOfALatePassIsAnswered() throws Exception {
        server.setLimits(SHORT_IDLE);
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /late HTTP/1.1|Host: x||").readUntil("GET /late");
            sleep(400);
            assertAnswered(client.send(SECOND));
        }
    }

    /** Idle connections of a shutdown are closed by their rest, not by the delay of the loop. */
    @Test
    void testRequestBehindAResponseOfALatePassIsAnsweredInAShutdown() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /late HTTP/1.1|Host: x||").readUntil("GET /late");
            thread.loop().execute(server::closeIdle);
            sleep(ARRIVAL_MILLIS);
            assertAnswered(client.send(SECOND));
        }
    }

    @Test
    void testBodyWithinTheRequestTimeoutIsAnswered() throws Exception {
        server.setLimits(SHORT_REQUEST);
        try (RawHttpClient client = usedConnection()) {
            client.send(HEAD + "x".repeat(600));
            sleep(150);
            assertAnswered(client.send("x".repeat(600)));
        }
    }

    @Test
    void testBodyWithinTheRequestTimeoutOfALateLoopIsAnswered() throws Exception {
        server.setLimits(SHORT_REQUEST);
        try (RawHttpClient client = usedConnection()) {
            client.send(HEAD + "x".repeat(600));
            sleep(ARRIVAL_MILLIS);
            CountDownLatch late = delayLoop();
            client.send("x".repeat(600));
            sleep(LATE_MILLIS);
            late.countDown();
            assertAnswered(client);
        }
    }

    /** Callers may take up a connection for as long as the timeout under which it came to rest. */
    @Test
    void testConnectionThatRestedUnderALongerTimeoutIsKept() throws Exception {
        try (RawHttpClient client = usedConnection()) {
            sleep(1_500);
            setLimits(SHORT_IDLE);
            sleep(1_500);
            assertAnswered(client.send(SECOND));
        }
    }

    @Test
    void testRequestBeforeAShorterTimeoutOfALateLoopIsAnswered() throws Exception {
        try (RawHttpClient client = usedConnection()) {
            sleep(1_500);
            CountDownLatch late = delayLoop();
            client.send(SECOND);
            sleep(LATE_MILLIS);
            thread.loop().execute(() -> server.setLimits(SHORT_IDLE));
            late.countDown();
            assertAnswered(client);
        }
    }

    @Test
    void testRequestBeforeTheLimitOfConnectionsIsAnswered() throws Exception {
        server.setMaxConnections(1);
        try (RawHttpClient client = usedConnection()) {
            assertAnswered(client.send(SECOND));
            try (RawHttpClient other = new RawHttpClient(address)) {
                assertAnswered(other.send(SECOND));
            }
        }
    }

    @Test
    void testRequestBeforeTheLimitOfConnectionsOfALateLoopIsAnswered() throws Exception {
        server.setMaxConnections(1);
        try (RawHttpClient client = usedConnection()) {
            CountDownLatch late = delayLoop();
            client.send(SECOND);
            sleep(ARRIVAL_MILLIS);
            try (RawHttpClient other = new RawHttpClient(address)) {
                other.send(SECOND);
                sleep(LATE_MILLIS);
                late.countDown();
                assertAnswered(client);
            }
        }
    }

    @Test
    void testRequestBeforeALowerLimitOfConnectionsOfALateLoopIsAnswered() throws Exception {
        try (RawHttpClient client = usedConnection();
                RawHttpClient other = usedConnection()) {
            CountDownLatch late = delayLoop();
            client.send(SECOND);
            sleep(LATE_MILLIS);
            thread.loop().execute(() -> server.setMaxConnections(1));
            late.countDown();
            assertAnswered(client);
            assertThat(other.readAll()).isEmpty();
        }
    }

    @Test
    void testNewConnectionWithARequestIsRefusedAtTheLimitOfALateLoop() throws Exception {
        server.setMaxConnections(1);
        try (RawHttpClient busy = new RawHttpClient(address)) {
            busy.send("GET /wait HTTP/1.1|Host: x||");
            sleep(ARRIVAL_MILLIS);
            CountDownLatch late = delayLoop();
            try (RawHttpClient other = new RawHttpClient(address)) {
                other.send(SECOND);
                sleep(ARRIVAL_MILLIS);
                late.countDown();
                assertThat(other.readAll())
                        .startsWith("HTTP/1.1 503")
                        .containsIgnoringCase("connection: close");
            }
            assertThat(connections()).isOne();
        }
    }

    @Test
    void testIncompleteRequestIsRefusedAtTheStop() throws Exception {
        try (RawHttpClient client = usedConnection()) {
            client.send(HEAD + "x".repeat(600));
            sleep(ARRIVAL_MILLIS);
            thread.call(server::stop);
            assertThat(client.readAll()).startsWith("HTTP/1.1 503");
        }
    }

    @Test
    void testRequestBeforeAShutdownOfALateLoopIsAnswered() throws Exception {
        try (RawHttpClient client = usedConnection()) {
            sleep(500);
            CountDownLatch late = delayLoop();
            client.send(SECOND);
            sleep(LATE_MILLIS);
            thread.loop().execute(server::closeIdle);
            late.countDown();
            assertAnswered(client);
        }
    }

    @Test
    void testRequestBeforeTheStopOfALateLoopIsRefused() throws Exception {
        try (RawHttpClient client = usedConnection()) {
            CountDownLatch late = delayLoop();
            client.send(SECOND);
            sleep(LATE_MILLIS);
            thread.loop().execute(server::stop);
            late.countDown();
            assertThat(client.readAll())
                    .startsWith("HTTP/1.1 503")
                    .containsIgnoringCase("connection: close")
                    .doesNotContain("(reset)");
        }
    }

    /** A request that arrived in part has not run, which the caller must learn. */
    @Test
    void testIncompleteRequestIsRefusedAtItsTimeout() throws Exception {
        server.setLimits(SHORT_REQUEST);
        try (RawHttpClient client = usedConnection()) {
            client.send(HEAD + "x".repeat(600));
            assertThat(client.readAll())
                    .startsWith("HTTP/1.1 408")
                    .containsIgnoringCase("connection: close")
                    .doesNotContain("(reset)");
        }
    }

    @Test
    void testRequestThatTricklesInIsRefusedAtItsTimeout() throws Exception {
        server.setLimits(SHORT_REQUEST);
        long startNanos = System.nanoTime();
        try (RawHttpClient client = usedConnection()) {
            client.send(HEAD);
            for (int count = 0; count < 30; count++) {
                client.send("x");
                sleep(20);
            }
            assertThat(client.readAll()).startsWith("HTTP/1.1 408");
        }
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)).isLessThan(4_000);
    }

    @Test
    void testSilentConnectionsOfALateLoopAreClosed() throws Exception {
        server.setLimits(new ConnectionLimits(1_024, 2_048, 400, 1_000));
        try (RawHttpClient idle = usedConnection();
                RawHttpClient incomplete = usedConnection()) {
            incomplete.send(HEAD);
            for (int count = 0; count < 30; count++) {
                CountDownLatch late = delayLoop();
                sleep(100);
                late.countDown();
            }
            assertThat(incomplete.readAll()).startsWith("HTTP/1.1 408");
            assertThat(idle.readAll()).isEmpty();
        }
    }

    @Test
    void testShorterRequestTimeoutSparesARequestThatIsArriving() throws Exception {
        try (RawHttpClient client = usedConnection()) {
            client.send(HEAD + "x".repeat(600));
            sleep(ARRIVAL_MILLIS);
            setLimits(SHORT_REQUEST);
            sleep(1_000);
            assertAnswered(client.send("x".repeat(600)));
        }
    }

    @Test
    void testSmallerBodyLimitSparesARequestThatIsArriving() throws Exception {
        try (RawHttpClient client = usedConnection()) {
            client.send(HEAD + "x".repeat(600));
            sleep(ARRIVAL_MILLIS);
            setLimits(new ConnectionLimits(1_024, 1_000, 60_000, 60_000));
            assertAnswered(client.send("x".repeat(600)));
        }
    }

    /** A response that a slow caller is still reading must not count as idle time. */
    @Test
    void testSlowlyReadResponseIsComplete() throws Exception {
        server.setLimits(SHORT_IDLE);
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /large HTTP/1.1|Host: x||").readUntil("\r\n\r\n");
            assertThat(readSlowly(client)).isEqualTo(LARGE_BYTES);
        }
    }

    @Test
    void testSlowlyReadResponseWithACloseIsComplete() throws Exception {
        server.setLimits(SHORT_IDLE);
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /large HTTP/1.1|Host: x|Connection: close||").readUntil("\r\n\r\n");
            assertThat(readSlowly(client)).isEqualTo(LARGE_BYTES);
        }
    }

    /** The end of a shutdown must wait for a response that is still being sent. */
    @Test
    void testSlowlyReadResponseIsNotCutByAShutdown() throws Exception {
        server.setLimits(SHORT_IDLE);
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /large HTTP/1.1|Host: x||");
            client.readUntil("\r\n\r\n");
            sleep(500);
            thread.call(
                    () -> {
                        server.drain();
                        server.closeIdle();
                        return Promise.complete();
                    });
            assertThat(transferring()).isTrue();
            assertThat(readSlowly(client)).isEqualTo(LARGE_BYTES);
            sleep(ARRIVAL_MILLIS);
            assertThat(transferring()).isFalse();
        }
    }

    @Test
    void testResponseThatIsNotReadIsCut() throws Exception {
        server.setLimits(SHORT_IDLE);
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /large HTTP/1.1|Host: x||");
            sleep(ARRIVAL_MILLIS);
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(8);
            while (connections() > 0) {
                assertThat(System.nanoTime()).isLessThan(endNanos);
                sleep(ARRIVAL_MILLIS);
            }
        }
    }

    /** A fault of the handler must not leave its caller without an answer. */
    @Test
    void testExceptionOfTheHandlerIsAnswered() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /fault HTTP/1.1|Host: x||");
            assertThat(client.readUntil("\r\n\r\n")).startsWith("HTTP/1.1 500");
        }
    }

    /** The connection of a failed request must not count for as long as the server runs. */
    @Test
    void testErrorOfTheHandlerIsAnsweredAndItsConnectionForgotten() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /error HTTP/1.1|Host: x||");
            assertThat(client.readAll()).startsWith("HTTP/1.1 500");
        }
        sleep(ARRIVAL_MILLIS);
        assertThat(connections()).isZero();
    }

    /** A response that has begun can't be replaced, so the caller must see that it is cut. */
    @Test
    void testExceptionWithinAResponseCutsIt() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /fault-behind-head HTTP/1.1|Host: x||");
            assertThat(client.readAll()).startsWith("HTTP/1.1 200").doesNotContain("\r\n0\r\n");
        }
    }

    @Test
    void testRequestsBeyondThePipelineLimitAreAnswered() throws Exception {
        int requests = 3_000;
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /slow HTTP/1.1|Host: x||" + SECOND.repeat(requests));
            client.send("GET /last HTTP/1.1|Host: x|Connection: close||");
            assertThat(client.readAll()).contains("/last").doesNotContain("(reset)");
        }
    }

    @Test
    void testRequestBehindAnAnnouncedCloseIsNotServed() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /first HTTP/1.1|Host: x|Connection: close||" + SECOND);
            assertThat(client.readAll())
                    .contains("GET /first")
                    .doesNotContain("/second")
                    .doesNotContain("(reset)");
        }
    }

    private RawHttpClient usedConnection() throws IOException {
        RawHttpClient client = new RawHttpClient(address);
        client.send(FIRST).readUntil("GET /first");
        return client;
    }

    private static void assertAnswered(RawHttpClient client) throws IOException {
        assertThat(client.readUntil("/second")).startsWith("HTTP/1.1 200").contains("/second");
    }

    private void setLimits(ConnectionLimits limits) {
        thread.call(
                () -> {
                    server.setLimits(limits);
                    return Promise.complete();
                });
    }

    private boolean transferring() {
        return thread.call(() -> Promise.of(server.transferring()));
    }

    private int connections() {
        return thread.call(() -> Promise.of(server.connections()));
    }

    /** Blocks the loop until the returned latch is at zero. */
    private CountDownLatch delayLoop() throws InterruptedException {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        thread.loop()
                .execute(
                        () -> {
                            begun.countDown();
                            awaitUninterrupted(ended);
                        });
        begun.await();
        return ended;
    }

    private static void awaitUninterrupted(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleepUninterrupted(long millis) {
        try {
            sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleep(long millis) throws InterruptedException {
        Thread.sleep(millis);
    }

    /** Reads over some seconds, and returns the size of the body. */
    private static long readSlowly(RawHttpClient client) throws Exception {
        long count = 0;
        while (count < LARGE_BYTES) {
            int read = client.skip(1 << 20);
            if (read < 0) {
                break;
            }
            count += read;
            sleep(READ_INTERVAL_MILLIS);
        }
        return count;
    }

    private static void handle(CallerExchange exchange) {
        CallerRequest request = exchange.request();
        if (request.path().equals("/fault")) {
            throw new IllegalStateException("A fault of the handler.");
        }
        if (request.path().equals("/error")) {
            throw new OutOfMemoryError("An error of the handler.");
        }
        if (request.path().equals("/fault-behind-head")) {
            exchange.begin(200, DefaultHttpHeadersFactory.headersFactory().newHeaders());
            throw new IllegalStateException("A fault behind the head of a response.");
        }
        if (request.path().equals("/wait")) {
            return;
        }
        if (request.path().equals("/late")) {
            sleepUninterrupted(LATE_PASS_MILLIS);
        }
        byte[] content =
                request.path().equals("/large")
                        ? new byte[LARGE_BYTES]
                        : (request.method() + " " + request.path())
                                .getBytes(StandardCharsets.UTF_8);
        exchange.respond(200, DefaultHttpHeadersFactory.headersFactory().newHeaders(), content);
    }
}
