package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;

/**
 * Guards against a codec of a connection that closes after its response and that passes what it has
 * read, or its failure, to the next caller.
 */
final class ReusedCodecTest {

    private static final String REQUEST = "GET /a HTTP/1.1|Host: x|Connection: close||";

    private static final String MALFORMED = "POST / HTTP/1.1|Host: x|Content-Length: -1||";

    private final EventLoopThread thread = EventLoopThread.start("reused-codec");

    private final InetSocketAddress address = IpAddress.of(LoopbackPorts.free(1).get(0));

    private final CallerServer server =
            new CallerServer(thread.loop(), address, ReusedCodecTest::handle);

    @BeforeEach
    void start() {
        thread.call(server::start);
    }

    @AfterEach
    void stop() {
        thread.call(server::stop);
        thread.stop();
    }

    @Test
    void testNextCallersAreAnsweredBehindCompleteRequests() throws IOException {
        assertServedBehind(REQUEST);
    }

    @Test
    void testNextCallersAreAnsweredBehindAPartOfARequest() throws IOException {
        for (int length = 1; length < REQUEST.length(); length++) {
            assertServedBehind(REQUEST + REQUEST.substring(0, length));
        }
    }

    @Test
    void testNextCallersAreAnsweredBehindAPipelinedRequest() throws IOException {
        assertServedBehind(REQUEST + REQUEST);
    }

    @Test
    void testNextCallersAreAnsweredBehindAMalformedRequest() throws IOException {
        assertServedBehind(MALFORMED);
        assertServedBehind(REQUEST + MALFORMED);
        assertServedBehind(REQUEST + MALFORMED.substring(0, MALFORMED.length() - 2));
    }

    @Test
    void testNextCallersAreAnsweredBehindARefusal() throws IOException {
        assertServedBehind(REQUEST.replace("/a", "/refused"));
    }

    private void assertServedBehind(String bytes) throws IOException {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send(bytes).readAll();
        }
        for (int caller = 0; caller < 3; caller++) {
            try (RawHttpClient client = new RawHttpClient(address)) {
                assertThat(client.send(REQUEST).readAll())
                        .startsWith("HTTP/1.1 200")
                        .endsWith("answer to /a");
            }
        }
    }

    private static void handle(CallerExchange exchange) {
        boolean refused = exchange.request().path().equals("/refused");
        String text = refused ? "" : "answer to " + exchange.request().path();
        exchange.respond(
                refused ? 503 : 200,
                DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                text.getBytes(StandardCharsets.UTF_8));
    }
}
