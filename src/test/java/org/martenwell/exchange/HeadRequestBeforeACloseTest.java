package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;

/**
 * Guards against a close behind a response without a body whose head said that its connection stays
 * open.
 */
final class HeadRequestBeforeACloseTest {

    private final EventLoopThread thread = EventLoopThread.start("head-request");

    private final InetSocketAddress address = IpAddress.of(LoopbackPorts.free(1).get(0));

    private CallerServer server;

    @BeforeEach
    void start() {
        server = new CallerServer(thread.loop(), address, HeadRequestBeforeACloseTest::handle);
        thread.call(server::start);
    }

    @AfterEach
    void stop() {
        thread.call(server::stop);
        thread.stop();
    }

    @Test
    void testConnectionBehindAHeadRequestIsKeptUnlessAClosingHeadWasSent() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            String head = client.send("HEAD /a HTTP/1.1|Host: x||").readUntil("\r\n\r\n");
            if (!head.contains("connection: close")) {
                client.send("GET /next HTTP/1.1|Host: x||");
                assertThat(client.readUntil("/next")).startsWith("HTTP/1.1 200");
            }
        }
    }

    private static void handle(CallerExchange exchange) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        byte[] body = exchange.request().path().getBytes(StandardCharsets.UTF_8);
        if (exchange.request().method().equals(HttpMethod.HEAD)) {
            exchange.respondCloseDelimited(200, headers, body);
        } else {
            exchange.respond(200, headers, body);
        }
    }
}
