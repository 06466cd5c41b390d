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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;

class CallerServerTest {

    private final EventLoopThread thread = EventLoopThread.start("test-callers");

    private final InetSocketAddress address = IpAddress.of(LoopbackPorts.free(1).get(0));

    /** The exchanges passed to the handler. */
    private final BlockingQueue<CallerExchange> exchanges = new LinkedBlockingQueue<>();

    /** The exchanges whose caller disconnected. */
    private final BlockingQueue<CallerExchange> abandoned = new LinkedBlockingQueue<>();

    private CallerServer server;

    @BeforeEach
    void start() {
        server = new CallerServer(thread.loop(), address, this::handle);
        server.setLimits(new ConnectionLimits(1_024, 2_048, 60_000, 60_000));
        thread.call(server::start);
    }

    @AfterEach
    void stop() {
        thread.call(server::stop);
        thread.stop();
    }

    @Test
    void testPipelinedRequestsAreServedInOrder() throws IOException {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /a HTTP/1.1|Host: x||GET /b HTTP/1.1|Host: x||");
            assertThat(client.readUntil("GET /b")).contains("GET /a").contains("200 OK");
        }
    }

    /** Guards against idle connections that keep new callers out at the limit. */
    @Test
    void testNewConnectionReplacesTheLongestIdleOneAtTheLimit() throws IOException {
        server.setMaxConnections(2);
        try (RawHttpClient first = new RawHttpClient(address);
                RawHttpClient second = new RawHttpClient(address)) {
            first.send("GET /a HTTP/1.1|Host: x||").readUntil("GET /a");
            second.send("GET /b HTTP/1.1|Host: x||").readUntil("GET /b");
            first.send("GET /c HTTP/1.1|Host: x||").readUntil("GET /c");
            try (RawHttpClient third = new RawHttpClient(address)) {
                assertThat(third.send("GET /d HTTP/1.1|Host: x||").readUntil("GET /d"))
                        .contains("200 OK");
            }
            assertThat(second.readAll()).isIn("", "(reset)");
            assertThat(first.send("GET /e HTTP/1.1|Host: x||").readUntil("GET /e"))
                    .contains("200 OK");
        }
        assertThat(server.closedAtLimit()).isOne();
    }

    /** Guards against callers that take up connections which are closed to make room. */
    @Test
    void testCallersAreToldOfAShorterIdleTimeWhileConnectionsAreScarce() throws IOException {
        server.setMaxConnections(10);
        List<RawHttpClient> clients = new ArrayList<>();
        try {
            List<String> responses = new ArrayList<>();
            for (int count = 0; count < 10; count++) {
                RawHttpClient client = new RawHttpClient(address);
                clients.add(client);
                responses.add(client.send("GET /a HTTP/1.1|Host: x||").readUntil("GET /a"));
            }
            assertThat(responses.subList(0, 7))
                    .allSatisfy(each -> assertThat(each).doesNotContain("keep-alive"));
            assertThat(responses.get(7)).contains("keep-alive: timeout=40");
            assertThat(responses.get(8)).contains("keep-alive: timeout=20");
            assertThat(responses.get(9)).contains("keep-alive: timeout=1\r");
        } finally {
            for (RawHttpClient each : clients) {
                each.close();
            }
        }
    }

    @Test
    void testConnectionWithARequestIsNotReplaced() throws Exception {
        server.setMaxConnections(1);
        try (RawHttpClient busy = new RawHttpClient(address)) {
            busy.send("GET /wait HTTP/1.1|Host: x||");
            CallerExchange waiting = exchanges.poll(5, TimeUnit.SECONDS);
            try (RawHttpClient other = new RawHttpClient(address)) {
                assertThat(other.readAll())
                        .startsWith("HTTP/1.1 503")
                        .containsIgnoringCase("connection: close")
                        .doesNotContain("(reset)");
            }
            thread.call(
                    () -> {
                        waiting.respond(
                                200,
                                DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                                new byte[0]);
                        return Promise.complete();
                    });
            assertThat(busy.readUntil("\r\n\r\n")).contains("200 OK");
        }
    }

    @Test
    void testChunkedBodyIsComplete() throws IOException {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send(
                    "POST /echo HTTP/1.1|Host: x|Transfer-Encoding: chunked||3;name=value|abc|2|de|0|Trailer: x||");
            assertThat(client.readUntil("abcde")).containsIgnoringCase("content-length: 5");
        }
    }

    @Test
    void testContinueIsSentBeforeTheBodyArrives() throws IOException {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("POST /echo HTTP/1.1|Host: x|Expect: 100-continue|Content-Length: 2||");
            assertThat(client.readUntil("\r\n\r\n")).startsWith("HTTP/1.1 100 Continue");
            client.send("ok");
            assertThat(client.readUntil("ok")).startsWith("HTTP/1.1 200 OK");
        }
    }

    /** Guards against request smuggling through framing that a target could parse differently. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST / HTTP/1.1|Host: x|Transfer-Encoding : chunked||0||",
                "GET / HTTP/1.1|Host: x|A: b\0c||",
                "GET / HTTP/1.1|Host: x|A: b| c||",
                "GET / HTTP/1.1|Host: x|A: b|\tc||",
                "POST / HTTP/1.1|Host: x|Content-Length: 1|Content-Length: 2||ab",
                "POST / HTTP/1.1|Host: x|Content-Length: 1|Transfer-Encoding: chunked||0||",
                "POST / HTTP/1.1|Host: x|Content-Length: -1||",
                "POST / HTTP/1.1|Host: x|Content-Length: +1||a",
                "POST / HTTP/1.1|Host: x|Transfer-Encoding: chunked||zz|",
            })
    void testAmbiguousRequestIsRejectedAndNothingAfterItServed(String request) throws IOException {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send(request + "GET /smuggled HTTP/1.1|Host: x||");
            assertThat(client.readAll()).startsWith("HTTP/1.1 400").doesNotContain("200 OK");
            assertThat(exchanges).isEmpty();
        }
    }

    @Test
    void testTooLargeBodyIsRejected() throws IOException {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("POST /echo HTTP/1.1|Host: x|Content-Length: 3000||" + "a".repeat(3_000));
            assertThat(client.readAll()).startsWith("HTTP/1.1 413");
        }
    }

    @Test
    void testTooLargeHeadIsRejected() throws IOException {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET / HTTP/1.1|Host: x|A: " + "a".repeat(2_000) + "||");
            assertThat(client.readAll()).startsWith("HTTP/1.1 431");
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void testDisconnectIsDetectedWhileARequestIsServed(boolean reset)
            throws IOException, InterruptedException {
        RawHttpClient client = new RawHttpClient(address);
        client.send("GET /wait HTTP/1.1|Host: x||");
        CallerExchange served = exchanges.poll(10, TimeUnit.SECONDS);
        if (reset) {
            client.reset();
        } else {
            client.close();
        }
        assertThat(abandoned.poll(10, TimeUnit.SECONDS)).isSameAs(served);
    }

    @Test
    void testAbortedResponseIsNotTerminated() throws IOException, InterruptedException {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /wait HTTP/1.1|Host: x||");
            CallerExchange served = exchanges.poll(10, TimeUnit.SECONDS);
            thread.call(
                    () -> {
                        served.begin(200, DefaultHttpHeadersFactory.headersFactory().newHeaders());
                        served.write("part".getBytes(StandardCharsets.UTF_8));
                        return Promise.complete();
                    });
            client.readUntil("part");
            thread.call(
                    () -> {
                        served.abort();
                        return Promise.complete();
                    });
            assertThat(client.readAll()).doesNotContain("0\r\n\r\n");
        }
    }

    @Test
    void testDrainingServerClosesConnectionsAfterTheirResponse() throws IOException {
        try (RawHttpClient client = new RawHttpClient(address)) {
            thread.call(
                    () -> {
                        server.drain();
                        return Promise.complete();
                    });
            client.send("GET /a HTTP/1.1|Host: x||");
            assertThat(client.readAll())
                    .contains("GET /a")
                    .containsIgnoringCase("connection: close");
        }
    }

    /** Guards against a folded header line in a request that arrives while another is served. */
    @Test
    void testFoldBehindARequestThatIsServedIsRejected() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /wait HTTP/1.1|Host: x||");
            CallerExchange served = exchanges.poll(10, TimeUnit.SECONDS);
            client.send("GET /b HTTP/1.1|Host: x|X: a| b||");
            TimeUnit.MILLISECONDS.sleep(200);
            respond(served);
            assertThat(client.readAll()).contains("200 OK").contains("HTTP/1.1 400");
        }
        assertThat(exchanges).isEmpty();
    }

    /** Guards against a folded header line in a request that arrives with the one before. */
    @Test
    void testFoldInTheSecondOfTwoRequestsIsRejected() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send(
                    "POST /a HTTP/1.1|Host: x|Content-Length: 3||1\n GET /b HTTP/1.1|X: a| b||");
            assertThat(client.readAll()).contains("POST /a").contains("HTTP/1.1 400");
        }
        assertThat(exchanges).hasSize(1);
    }

    @Test
    void testFoldThatArrivesByteByByteIsRejected() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            for (char each : "GET /b HTTP/1.1|Host: x|X: a|\tb||".toCharArray()) {
                client.send(String.valueOf(each));
                TimeUnit.MILLISECONDS.sleep(2);
            }
            assertThat(client.readAll()).startsWith("HTTP/1.1 400");
        }
        assertThat(exchanges).isEmpty();
    }

    /** A line of a body that begins with a blank is no folded header line. */
    @Test
    void testBlankLinesOfBodiesAreNoFolds() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("POST /echo HTTP/1.1|Host: x|Content-Length: 11||a|| b||");
            assertThat(client.readUntil(" b\r\n")).startsWith("HTTP/1.1 200");
            client.send("POST /echo HTTP/1.1|Host: x|Transfer-Encoding: chunked||");
            client.send("5| c1||0||GET /c HTTP/1.1|Host: x||");
            assertThat(client.readUntil("GET /c")).contains(" c1").contains("200 OK");
        }
    }

    /** Guards against a kept connection that refuses what the configuration allows by now. */
    @Test
    void testLargerLimitOfHeadersHoldsForAKeptConnection() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /a HTTP/1.1|Host: x||").readUntil("GET /a");
            setMaxHeaderBytes(8_192);
            client.send("GET /b HTTP/1.1|X: " + "x".repeat(4_096) + "||");
            assertThat(client.readUntil("GET /b")).startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void testSmallerLimitOfHeadersHoldsForAKeptConnection() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /a HTTP/1.1|Host: x||").readUntil("GET /a");
            setMaxHeaderBytes(100);
            client.send("GET /b HTTP/1.1|X: " + "x".repeat(50) + "||").readUntil("GET /b");
            client.send("GET /c HTTP/1.1|X: " + "x".repeat(500) + "||");
            assertThat(client.readAll()).startsWith("HTTP/1.1 431");
        }
    }

    /** Guards against a header line without an end that fills the heap. */
    @Test
    void testHeaderLineWithoutAnEndIsRefused() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /b HTTP/1.1|X: " + "x".repeat(1_200));
            assertThat(client.readAll()).startsWith("HTTP/1.1 431");
        }
    }

    private void setMaxHeaderBytes(int bytes) {
        thread.call(
                () -> {
                    server.setLimits(new ConnectionLimits(bytes, 2_048, 60_000, 60_000));
                    return Promise.complete();
                });
    }

    private void respond(CallerExchange served) {
        thread.call(
                () -> {
                    served.respond(
                            200,
                            DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                            new byte[0]);
                    return Promise.complete();
                });
    }

    /**
     * Responds with the body to {@code /echo}, not at all to {@code /wait}, else with method and
     * path.
     */
    private void handle(CallerExchange exchange) {
        CallerRequest request = exchange.request();
        exchange.onDisconnect(() -> abandoned.add(exchange));
        exchanges.add(exchange);
        if (!request.path().equals("/wait")) {
            boolean echo = request.path().equals("/echo");
            String text =
                    echo ? request.body().toString() : request.method() + " " + request.path();
            exchange.respond(
                    200,
                    DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                    text.getBytes(StandardCharsets.UTF_8));
        }
    }
}
