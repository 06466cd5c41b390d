package org.martenwell.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.demo.DemoFleet;
import org.martenwell.demo.DemoSite;
import org.martenwell.service.IpAddress;
import org.martenwell.standin.GenerationState;

/**
 * Sends invalid requests. Each must get its documented response and must not affect another
 * organisation's concurrent stream.
 */
class BadInputTest {

    private static final Charset UTF_8 = StandardCharsets.UTF_8;

    private static DemoFleet fleet;
    private static String router;
    private final TestCaller caller = TestCaller.of("clinic-0");
    private CompletableFuture<HttpResponse<String>> concurrentStream;

    @BeforeAll
    static void startFleet() {
        fleet =
                DemoFleet.start(
                        DemoSite.coldChain().withTokensPerSecond(300).withMedianTokens(120), 1);
        router = fleet.callerAddresses().get(0);
    }

    @AfterAll
    static void stopFleet() {
        fleet.stop();
    }

    @BeforeEach
    void startConcurrentStream() {
        concurrentStream = TestCaller.of("clinic-1").chatLater(router, true, "neighbour");
    }

    @AfterEach
    void checkConcurrentStream() {
        assertThat(concurrentStream.join().body()).endsWith("data: [DONE]\n\n");
    }

    @Test
    void testUnknownModel() {
        HttpResponse<String> response =
                caller.post(router, "/v1/completions", "{\"model\":\"none\"}".getBytes(UTF_8));
        assertRefused(response, 404, "unknown_model");
    }

    @Test
    void testUnknownService() {
        assertRefused(caller.get(router, "/services/none/"), 404, "unknown_service");
    }

    @Test
    void testUnknownPath() {
        assertRefused(caller.get(router, "/v2/nothing"), 404, "unknown_path");
    }

    @Test
    void testWrongMethod() {
        assertRefused(caller.get(router, "/v1/completions"), 405, "method_not_allowed");
    }

    @Test
    void testUnknownKey() {
        HttpResponse<String> response = new TestCaller("wrong").chat(router, true, "never runs");
        assertRefused(response, 401, "unauthenticated");
    }

    @Test
    void testMalformedJson() {
        HttpResponse<String> response =
                caller.post(router, "/v1/completions", "{\"model\":".getBytes(UTF_8));
        assertRefused(response, 400, "malformed_request");
    }

    @Test
    void testInvalidUtf8() {
        byte[] body = "{\"model\":\"x\"}".getBytes(UTF_8);
        body[10] = (byte) 0xff;
        assertRefused(caller.post(router, "/v1/completions", body), 400, "malformed_request");
    }

    @Test
    void testBodyBeyondLimit() {
        assertThat(
                        exchangeRaw(
                                "POST /v1/completions HTTP/1.1\r\n"
                                        + requestHeaders()
                                        + "Content-Length: 99999999\r\n\r\n"))
                .startsWith("HTTP/1.1 413")
                .contains("body_too_large");
    }

    @Test
    void testTwoContentLengths() {
        String request =
                "POST /v1/completions HTTP/1.1\r\n"
                        + requestHeaders()
                        + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{} ";
        assertThat(exchangeRaw(request)).startsWith("HTTP/1.1 400").contains("malformed_request");
    }

    @Test
    void testSingleHeaderBeyondLimit() {
        String request =
                "GET /v1/models HTTP/1.1\r\n" + "X-Long: " + "x".repeat(1 << 20) + "\r\n\r\n";
        // The router doesn't read the remaining headers, so a reset may discard the response.
        assertThat(exchangeRaw(request)).matches("(?s)|HTTP/1.1 400.*");
    }

    @Test
    void testTotalOfHeadersBeyondLimit() {
        StringBuilder request = new StringBuilder("GET /v1/models HTTP/1.1\r\n");
        for (int index = 0; index < 20; index++) {
            request.append("X-H").append(index).append(": ");
            request.append("x".repeat(4_000)).append("\r\n");
        }
        assertThat(exchangeRaw(request + "\r\n"))
                .startsWith("HTTP/1.1 431")
                .contains("headers_too_large");
    }

    @Test
    void testTruncatedBodyIsNotForwarded() throws IOException {
        int before = fleet.runs().size();
        try (Socket socket = connect()) {
            String request =
                    "POST /v1/completions HTTP/1.1\r\n"
                            + requestHeaders()
                            + "Content-Length: 500\r\n\r\n{\"mo";
            socket.getOutputStream().write(request.getBytes(UTF_8));
        }
        concurrentStream.join();
        assertThat(fleet.runs()).hasSizeLessThanOrEqualTo(before + 1);
    }

    @Test
    void testPostWithoutLength() {
        assertThat(exchangeRaw("POST /v1/completions HTTP/1.1\r\n" + requestHeaders() + "\r\n"))
                .startsWith("HTTP/1.1 400");
    }

    @Test
    void testDisconnectOfCallerCancelsStream() throws Exception {
        String prompt = "hang up " + System.nanoTime();
        try (Socket socket = connect()) {
            String body =
                    "{\"model\":\""
                            + DemoSite.MODEL
                            + "\",\"stream\":true,\"max_tokens\":400,"
                            + "\"messages\":[{\"role\":\"user\",\"content\":\""
                            + prompt
                            + "\"}]}";
            String request =
                    "POST /v1/chat/completions HTTP/1.1\r\n"
                            + requestHeaders()
                            + "Content-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body;
            socket.getOutputStream().write(request.getBytes(UTF_8));
            socket.getInputStream().read(new byte[64]);
            socket.setSoLinger(true, 0);
        }
        concurrentStream.join();
        for (int attempt = 0; attempt < 200 && fleet.status(0).running() > 0; attempt++) {
            Thread.sleep(20);
        }
        assertThat(fleet.status(0).running()).isZero();
        assertThat(fleet.runs())
                .allSatisfy(
                        run ->
                                assertThat(run.state())
                                        .isIn(GenerationState.ENDED, GenerationState.CANCELLED));
    }

    private static void assertRefused(HttpResponse<String> response, int status, String code) {
        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(TestCaller.code(response)).isEqualTo(code);
        assertThat(TestCaller.outcome(response)).isEqualTo("not-run");
    }

    private static String requestHeaders() {
        return "Host: router\r\nAuthorization: Bearer " + DemoSite.key("clinic-0") + "\r\n";
    }

    private static Socket connect() throws IOException {
        InetSocketAddress address = IpAddress.of(router);
        return new Socket(address.getAddress(), address.getPort());
    }

    /** Sends bytes and reads the response until the connection ends or is idle for 1.5 seconds. */
    private static String exchangeRaw(String request) {
        StringBuilder response = new StringBuilder();
        try (Socket socket = connect()) {
            socket.setSoTimeout(1_500);
            socket.getOutputStream().write(request.getBytes(UTF_8));
            byte[] buffer = new byte[4096];
            int count = socket.getInputStream().read(buffer);
            while (count > 0) {
                response.append(new String(buffer, 0, count, UTF_8));
                count = socket.getInputStream().read(buffer);
            }
        } catch (IOException ended) {
            return response.toString();
        }
        return response.toString();
    }
}
