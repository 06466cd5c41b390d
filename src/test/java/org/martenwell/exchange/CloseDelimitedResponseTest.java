package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.Promise;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;

/** Guards against a response without framing that looks complete though its end was lost. */
class CloseDelimitedResponseTest {

    /** More than the system buffers for a caller that doesn't read. */
    private static final int LARGE_BODY_BYTES = 32 << 20;

    private static final long IDLE_MILLIS = 3_000;

    private final EventLoopThread thread = EventLoopThread.start("test-unframed");

    private final InetSocketAddress address = IpAddress.of(LoopbackPorts.free(1).get(0));

    private final BlockingQueue<CallerExchange> exchanges = new LinkedBlockingQueue<>();

    private CallerServer server;

    @BeforeEach
    void start() {
        server = new CallerServer(thread.loop(), address, exchanges::add);
        server.setLimits(new ConnectionLimits(1_024, 2_048, 60_000, IDLE_MILLIS));
        thread.call(server::start);
    }

    @AfterEach
    void stop() {
        thread.call(server::stop);
        thread.stop();
    }

    @Test
    void testResponseEndsWithItsConnection() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            request(
                    client,
                    "HTTP/1.1",
                    each -> each.respondCloseDelimited(200, headers(), bytes("ab")));
            assertThat(client.readAll())
                    .endsWith("\r\n\r\nab")
                    .containsIgnoringCase("connection: close")
                    .doesNotContainIgnoringCase("content-length")
                    .doesNotContainIgnoringCase("transfer-encoding");
        }
    }

    @Test
    void testEmptyResponseEndsWithItsConnection() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            request(
                    client,
                    "HTTP/1.1",
                    each -> each.respondCloseDelimited(200, headers(), bytes("")));
            assertThat(client.readAll()).endsWith("\r\n\r\n");
        }
    }

    @Test
    void testPipelinedRequestBehindTheResponseIsNotServed() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /a HTTP/1.1|Host: x||GET /b HTTP/1.1|Host: x||");
            run(take(), each -> each.respondCloseDelimited(200, headers(), bytes("ab")));
            assertThat(client.readAll()).endsWith("\r\n\r\nab");
            assertThat(exchanges).isEmpty();
        }
    }

    @Test
    void testAbortedResponseIsReset() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            CallerExchange exchange = beginResponse(client);
            run(exchange, CallerExchange::abort);
            assertThat(client.readAll()).endsWith("(reset)");
        }
    }

    @Test
    void testResponseOfAServerThatStopsIsReset() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            beginResponse(client);
            thread.call(server::stop);
            assertThat(client.readAll()).endsWith("(reset)");
        }
    }

    @Test
    void testSlowCallerGetsTheWholeBody() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            byte[] body = new byte[LARGE_BODY_BYTES];
            request(client, "HTTP/1.1", each -> each.respondCloseDelimited(200, headers(), body));
            Thread.sleep(IDLE_MILLIS / 2);
            assertThat(client.countBytes()).isGreaterThan(LARGE_BODY_BYTES);
        }
    }

    @Test
    void testCallerThatDoesNotReadIsReset() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            byte[] body = new byte[LARGE_BODY_BYTES];
            request(client, "HTTP/1.1", each -> each.respondCloseDelimited(200, headers(), body));
            Thread.sleep(IDLE_MILLIS + 1_000);
            assertThat(client.readAll()).endsWith("(reset)");
        }
    }

    @Test
    void testCallerOfAnOlderVersionGetsNoChunks() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            request(
                    client,
                    "HTTP/1.0",
                    each -> {
                        each.begin(200, headers());
                        each.write(bytes("ab"));
                        each.end();
                    });
            assertThat(client.readAll())
                    .endsWith("\r\n\r\nab")
                    .doesNotContainIgnoringCase("transfer-encoding");
        }
    }

    /** Sends a request and begins a response to it that the caller has read. */
    private CallerExchange beginResponse(RawHttpClient client) throws Exception {
        client.send("GET / HTTP/1.1|Host: x||");
        CallerExchange exchange = take();
        run(
                exchange,
                each -> {
                    each.begin(200, headers(), ResponseFraming.CLOSE_DELIMITED);
                    each.write(bytes("part"));
                });
        client.readUntil("part");
        return exchange;
    }

    private void request(RawHttpClient client, String version, Consumer<CallerExchange> response)
            throws IOException, InterruptedException {
        client.send("GET / " + version + "|Host: x||");
        run(take(), response);
    }

    private CallerExchange take() throws InterruptedException {
        return exchanges.poll(10, TimeUnit.SECONDS);
    }

    private void run(CallerExchange exchange, Consumer<CallerExchange> action) {
        thread.call(
                () -> {
                    action.accept(exchange);
                    return Promise.complete();
                });
    }

    private static HttpHeaders headers() {
        return DefaultHttpHeadersFactory.headersFactory().newHeaders();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
