package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;

/**
 * Guards against a response without a body that states another length than the target did, or that
 * has bytes behind its head, which become the response to the next request.
 */
class BodilessResponseTest {

    private static final String CLOSING = "/x HTTP/1.1|Host: x|Connection: close||";

    private final EventLoopThread thread = EventLoopThread.start("bodiless-responses");

    private final InetSocketAddress address = IpAddress.of(LoopbackPorts.free(1).get(0));

    private CallerServer server;

    @AfterEach
    void stop() {
        thread.call(server::stop);
        thread.stop();
    }

    @ParameterizedTest
    @CsvSource({"HEAD,200", "HEAD,404", "HEAD,503", "HEAD,304", "GET,304"})
    void testLengthOfTheTargetIsKept(String method, int status) throws IOException {
        serve(exchange -> exchange.respond(status, length("21"), new byte[0]));
        assertThat(receive(method)).contains("content-length: 21\r\n").endsWith("\r\n\r\n");
    }

    @ParameterizedTest
    @CsvSource({"HEAD,200", "HEAD,404", "GET,304", "GET,204"})
    void testUnknownLengthIsNotStated(String method, int status) throws IOException {
        serve(exchange -> exchange.respond(status, headers(), new byte[0]));
        assertThat(receive(method)).doesNotContain("content-length").endsWith("\r\n\r\n");
    }

    @Test
    void testHeadOfAResponseWithABodyStatesItsLength() throws IOException {
        serve(exchange -> exchange.respond(200, headers(), new byte[5]));
        assertThat(receive("HEAD")).contains("content-length: 5\r\n").endsWith("\r\n\r\n");
    }

    @Test
    void testLengthOfABodyIsItsOwn() throws IOException {
        serve(exchange -> exchange.respond(200, length("21"), new byte[] {'a'}));
        assertThat(receive("GET")).contains("content-length: 1\r\n").endsWith("\r\n\r\na");
    }

    @Test
    void testHeadOfAStreamHasNoChunks() throws IOException {
        serve(
                exchange -> {
                    exchange.begin(200, headers());
                    exchange.write(new byte[] {'a'});
                    exchange.end();
                });
        assertThat(receive("HEAD")).startsWith("HTTP/1.1 200 OK\r\n").endsWith("\r\n\r\n");
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("HEAD /x HTTP/1.1|Host: x||").readUntil("\r\n\r\n");
            assertThat(client.send("HEAD " + CLOSING).readAll()).startsWith("HTTP/1.1 200 OK\r\n");
        }
    }

    private String receive(String method) throws IOException {
        try (RawHttpClient client = new RawHttpClient(address)) {
            return client.send(method + " " + CLOSING).readAll();
        }
    }

    private void serve(RequestHandler handler) {
        server = new CallerServer(thread.loop(), address, handler);
        thread.call(server::start);
    }

    private static HttpHeaders headers() {
        return DefaultHttpHeadersFactory.headersFactory().newHeaders();
    }

    private static HttpHeaders length(String value) {
        return headers().set(HttpHeaderNames.CONTENT_LENGTH, value);
    }
}
