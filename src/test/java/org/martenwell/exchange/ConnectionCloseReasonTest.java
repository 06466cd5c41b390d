package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.Promise;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;

/** Guards against closed connections whose logs don't show why. */
final class ConnectionCloseReasonTest {

    private static final String REQUEST = "GET /a HTTP/1.1|Host: x||";

    private final EventLoopThread thread = EventLoopThread.start("close-reasons");

    private final InetSocketAddress address = IpAddress.of(LoopbackPorts.free(1).get(0));

    private final BlockingQueue<ClosedConnection> closed = new LinkedBlockingQueue<>();

    private final BlockingQueue<CallerExchange> waiting = new LinkedBlockingQueue<>();

    private CallerServer server;

    @BeforeEach
    void start() {
        server = new CallerServer(thread.loop(), address, this::handle);
        server.onClose(closed::add);
        server.setLimits(new ConnectionLimits(1_024, 2_048, 300, 300));
        thread.call(server::start);
    }

    @AfterEach
    void stop() {
        thread.call(server::stop);
        thread.stop();
    }

    @Test
    void testIdleConnectionReportsItsAge() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send(REQUEST).readUntil("answer");
            ClosedConnection connection = next();
            assertThat(connection.reason()).isEqualTo(CloseReason.IDLE_TIMEOUT);
            assertThat(connection.state()).isEqualTo(ConnectionState.IDLE);
            assertThat(connection.stateMillis()).isGreaterThanOrEqualTo(300);
            assertThat(connection.bytes().unread()).isZero();
        }
    }

    @Test
    void testIncompleteRequestReportsItsState() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /a HTTP/1.1|Host");
            ClosedConnection connection = next();
            assertThat(connection.reason()).isEqualTo(CloseReason.REQUEST_TIMEOUT);
            assertThat(connection.state()).isEqualTo(ConnectionState.RECEIVING);
        }
    }

    @Test
    void testMalformedRequestIsReported() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("POST / HTTP/1.1|Host: x|Content-Length: -1||").readAll();
        }
        assertThat(next().reason()).isEqualTo(CloseReason.BAD_REQUEST);
    }

    @Test
    void testCallerThatLeavesIsReported() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send(REQUEST).readUntil("answer");
        }
        assertThat(next().reason()).isEqualTo(CloseReason.CALLER_LEFT);
    }

    @Test
    void testRequestWithoutAResponseIsReported() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /wait HTTP/1.1|Host: x|Name: n||");
            waiting.take();
        }
        ClosedConnection connection = next();
        assertThat(connection.reason()).isEqualTo(CloseReason.CALLER_LEFT);
        assertThat(connection.unanswered()).map(each -> each.get("Name")).contains("n");
        assertThat(connection.notable()).isTrue();
    }

    @Test
    void testRequestWithAResponseIsNotReportedAsUnanswered() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send(REQUEST).readUntil("answer");
        }
        ClosedConnection connection = next();
        assertThat(connection.unanswered()).isEmpty();
        assertThat(connection.notable()).isFalse();
    }

    @Test
    void testRequestBehindAnAnnouncedCloseIsReported() throws Exception {
        String last = "GET /a HTTP/1.1|Host: x|Connection: close||";
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send(last).readUntil("answer");
            client.send(REQUEST).readAll();
        }
        ClosedConnection connection = next();
        assertThat(connection.bytes().discarded()).isPositive();
        assertThat(connection.notable()).isTrue();
    }

    @Test
    void testAnnouncedCloseIsReported() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /a HTTP/1.1|Host: x|Connection: close||").readAll();
        }
        assertThat(next().reason()).isEqualTo(CloseReason.RESPONSE_COMPLETE);
    }

    @Test
    void testAbortedResponseIsReported() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /abort HTTP/1.1|Host: x||").readAll();
        }
        ClosedConnection connection = next();
        assertThat(connection.reason()).isEqualTo(CloseReason.RESPONSE_ABORTED);
        assertThat(connection.state()).isEqualTo(ConnectionState.SERVING);
    }

    @Test
    void testStoppedServerReportsItsConnections() throws Exception {
        server.setLimits(ConnectionLimits.DEFAULTS);
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send(REQUEST).readUntil("answer");
            thread.call(server::stop);
            assertThat(next().reason()).isEqualTo(CloseReason.STOP);
        }
    }

    @Test
    void testDelayOfTheLoopIsReported() throws IOException, InterruptedException {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send(REQUEST).readUntil("answer");
            thread.call(
                    () -> {
                        block();
                        return Promise.complete();
                    });
            assertThat(next().lateMillis()).isGreaterThan(300);
        }
    }

    private ClosedConnection next() throws InterruptedException {
        ClosedConnection connection = closed.poll(5, TimeUnit.SECONDS);
        assertThat(connection).isNotNull();
        return connection;
    }

    private void handle(CallerExchange exchange) {
        if (exchange.request().path().equals("/wait")) {
            waiting.add(exchange);
        } else if (exchange.request().path().equals("/abort")) {
            exchange.abort();
        } else {
            exchange.respond(
                    200,
                    DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                    "answer".getBytes(StandardCharsets.UTF_8));
        }
    }

    private static void block() {
        try {
            Thread.sleep(600);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new AssertionError(exception);
        }
    }
}
