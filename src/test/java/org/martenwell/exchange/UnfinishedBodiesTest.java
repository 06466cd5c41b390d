package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.Promise;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;

/** Guards against a heap full of bodies that have not arrived completely. */
@Timeout(60)
final class UnfinishedBodiesTest {

    private static final int MEMORY_BYTES = 1 << 20;

    private static final int BODY_BYTES = 90_000;

    private static final int LARGE_RESPONSE_BYTES = 16 << 20;

    private final EventLoopThread thread = EventLoopThread.start("unfinished-bodies");

    private final InetSocketAddress address = IpAddress.of(LoopbackPorts.free(1).get(0));

    private final CallerMemory memory = new CallerMemory(MEMORY_BYTES);

    private final BlockingQueue<ClosedConnection> closed = new LinkedBlockingQueue<>();

    private final List<RawHttpClient> clients = new ArrayList<>();

    private CallerServer server;

    @BeforeEach
    void start() {
        server = new CallerServer(thread.loop(), address, UnfinishedBodiesTest::handle);
        server.setLimits(new ConnectionLimits(16_384, 4 << 20, 60_000, 60_000));
        server.setMemory(memory);
        server.onClose(closed::add);
        thread.call(server::start);
    }

    @AfterEach
    void stop() throws IOException {
        for (RawHttpClient each : clients) {
            each.close();
        }
        thread.call(server::stop);
        thread.stop();
    }

    @Test
    void testBodyIsRefusedAtItsHeadWhenOthersFillTheMemory() throws IOException {
        fill();
        String refusal = client().send(head("/upload", BODY_BYTES)).readAll();
        assertThat(refusal).startsWith("HTTP/1.1 503").contains("retry-after: ");
        assertThat(keptBytes()).isLessThanOrEqualTo(MEMORY_BYTES);
    }

    @Test
    void testExpectingCallerIsRefusedInsteadOfContinued() throws IOException {
        fill();
        String refusal = client().send(expectingHead(BODY_BYTES)).readUntil("\r\n\r\n");
        assertThat(refusal).startsWith("HTTP/1.1 503");
    }

    @Test
    void testShortRequestsAreServedBesideLargeBodies() throws IOException {
        fill();
        for (int count = 0; count < 100; count++) {
            RawHttpClient client = client();
            assertThat(client.send("GET /a HTTP/1.1|Host: x||").readUntil("\r\n\r\n0"))
                    .startsWith("HTTP/1.1 200");
            client.send(head("/upload", 12_000)).send("x".repeat(12_000));
            assertThat(client.readUntil("\r\n\r\n12000")).startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void testBodyThatBeganIsServedThoughOthersFillTheMemory() throws IOException {
        for (RawHttpClient each : fill()) {
            each.send("x".repeat(BODY_BYTES));
            assertThat(each.readUntil("\r\n\r\n" + BODY_BYTES)).startsWith("HTTP/1.1 200");
        }
        assertThat(keptBytes()).isZero();
    }

    @Test
    void testBodyWithoutALengthIsRefusedMidway() throws IOException {
        fill();
        RawHttpClient client = client();
        client.send("POST /upload HTTP/1.1|Host: x|Transfer-Encoding: chunked||");
        for (int count = 0; count < 40; count++) {
            client.send("1000|" + "x".repeat(4_096) + "|");
        }
        assertThat(client.readAll()).startsWith("HTTP/1.1 503").contains("retry-after: ");
    }

    /** Guards against refusals that a reset destroys since the caller still sends. */
    @Test
    void testRefusalReachesACallerThatSendsAllOfItsBodyFirst() throws IOException {
        fill();
        RawHttpClient client = client().send(head("/upload", 4 << 20));
        for (int count = 0; count < 64; count++) {
            client.send("x".repeat(1 << 16));
        }
        assertThat(client.readAll()).startsWith("HTTP/1.1 503").doesNotContain("(reset)");
    }

    @Test
    void testBodyOfACallerThatLeftIsGivenUp() throws Exception {
        List<RawHttpClient> filling = fill();
        for (RawHttpClient each : filling) {
            each.send("x".repeat(BODY_BYTES / 2)).reset();
        }
        for (int count = 0; count < filling.size(); count++) {
            assertThat(closed.poll(10, TimeUnit.SECONDS)).isNotNull();
        }
        assertThat(keptBytes()).isZero();
        assertThat(client().send(expectingHead(BODY_BYTES)).readUntil("\r\n\r\n"))
                .startsWith("HTTP/1.1 100");
    }

    @Test
    void testAnnouncedBodyThatDoesNotArriveTakesLittle() throws IOException {
        client().send(expectingHead(4 << 20)).readUntil("\r\n\r\n");
        assertThat(keptBytes()).isPositive().isLessThan(MEMORY_BYTES / 4);
    }

    @Test
    void testIncompleteHeadIsCounted() throws IOException {
        RawHttpClient served = client().send("GET /a HTTP/1.1|Host: x||");
        served.readUntil("\r\n\r\n");
        RawHttpClient client = client();
        client.send("GET /a HTTP/1.1|Host: x|Filler: " + "x".repeat(8_000));
        while (keptBytes() == 0) {
            Thread.onSpinWait();
        }
        client.send("||").readUntil("\r\n\r\n");
        assertThat(keptBytes()).isZero();
    }

    @Test
    void testRequestsBehindAServedOneAreCounted() throws IOException {
        RawHttpClient client = client().send("GET /wait HTTP/1.1|Host: x||");
        client.send(head("/upload", 50_000)).send("x".repeat(50_000));
        while (keptBytes() < 50_000) {
            Thread.onSpinWait();
        }
        client.reset();
        while (keptBytes() > 0) {
            Thread.onSpinWait();
        }
    }

    @Test
    void testNewBodyIsRefusedWhileCallersLeaveResponsesUnread() throws IOException {
        RawHttpClient slow = client().send("GET /large HTTP/1.1|Host: x|Connection: close||");
        slow.readUntil("\r\n\r\n");
        assertThat(client().send(head("/upload", BODY_BYTES)).readAll()).startsWith("HTTP/1.1 503");
        assertThat(client().send("GET /a HTTP/1.1|Host: x||").readAll()).startsWith("HTTP/1.1 503");
    }

    @Test
    void testCallerThatDoesNotReadIsClosedForLackOfMemory() throws Exception {
        RawHttpClient slow = client().send("GET /large HTTP/1.1|Host: x||");
        slow.readUntil("\r\n\r\n");
        ClosedConnection connection = closed.poll(30, TimeUnit.SECONDS);
        assertThat(connection).isNotNull();
        assertThat(connection.reason()).isEqualTo(CloseReason.SLOW_CALLER);
        assertThat(keptBytes()).isZero();
    }

    @Test
    void testCallerThatReadsGetsALargeResponse() throws IOException {
        RawHttpClient reader = client().send("GET /large HTTP/1.1|Host: x|Connection: close||");
        assertThat(reader.countBytes()).isGreaterThan(LARGE_RESPONSE_BYTES);
        assertThat(keptBytes()).isZero();
    }

    /** Guards against refused connections that keep new callers out. */
    @Test
    void testRefusedConnectionMakesRoomForANewOne() throws IOException {
        int filling = fill().size();
        server.setMaxConnections(filling + 1);
        client().send(head("/upload", BODY_BYTES)).readAll();
        assertThat(client().send("GET /a HTTP/1.1|Host: x||").readUntil("\r\n\r\n"))
                .startsWith("HTTP/1.1 200");
    }

    /** Begins bodies until the memory is full of them; returns the clients whose body began. */
    private List<RawHttpClient> fill() throws IOException {
        List<RawHttpClient> begun = new ArrayList<>();
        for (int count = 0; count < MEMORY_BYTES / BODY_BYTES + 1; count++) {
            RawHttpClient client = client().send(expectingHead(BODY_BYTES));
            if (client.readUntil("\r\n\r\n").startsWith("HTTP/1.1 100")) {
                begun.add(client);
            } else {
                client.close();
                awaitClose();
            }
        }
        return begun;
    }

    private void awaitClose() {
        try {
            assertThat(closed.poll(10, TimeUnit.SECONDS)).isNotNull();
        } catch (InterruptedException exception) {
            throw new AssertionError(exception);
        }
    }

    private RawHttpClient client() throws IOException {
        RawHttpClient client = new RawHttpClient(address);
        clients.add(client);
        return client;
    }

    private static String head(String path, int length) {
        return "POST " + path + " HTTP/1.1|Host: x|Content-Length: " + length + "||";
    }

    private static String expectingHead(int length) {
        return "POST /upload HTTP/1.1|Host: x|Expect: 100-continue|Content-Length: "
                + length
                + "||";
    }

    private long keptBytes() {
        return thread.call(() -> Promise.of(memory.keptBytes()));
    }

    /** Answers with the size of the body, or with a large one; a request for a wait stays open. */
    private static void handle(CallerExchange exchange) {
        String path = exchange.request().path();
        String size = Integer.toString(exchange.request().body().length());
        byte[] content = size.getBytes(StandardCharsets.US_ASCII);
        if (path.equals("/large")) {
            content = new byte[LARGE_RESPONSE_BYTES];
        }
        if (!path.equals("/wait")) {
            exchange.respond(200, DefaultHttpHeadersFactory.headersFactory().newHeaders(), content);
        }
    }
}
