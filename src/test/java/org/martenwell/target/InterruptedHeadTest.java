package org.martenwell.target;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.martenwell.configuration.PoolKind;
import org.martenwell.configuration.Target;
import org.martenwell.http.AsyncHttpClient;
import org.martenwell.service.EventLoopThread;

/**
 * Guards against a target that ends its connection within the head of its response: that must not
 * become a response with an empty or short body.
 */
class InterruptedHeadTest {

    private static final String BODY = "data: 1\n\ndata: [DONE]\n\n";

    private static final String STATUS = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";

    private final EventLoopThread loop = EventLoopThread.start("interrupted-head");

    private final ServerSocket server;

    /** The bytes that answer the next request. */
    private volatile String answer = "";

    InterruptedHeadTest() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::serve, "interrupting-target");
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        loop.stop();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 23\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n",
                "Connection: close\r\n\r\n"
            })
    void testNoByteOfTheHeadMayBeMissing(String framing) {
        String head = STATUS + framing;
        List<String> accepted = new ArrayList<>();
        for (int length = 0; length < head.length(); length++) {
            answer = head.substring(0, length);
            if (responds(true) || responds(false)) {
                accepted.add(answer);
            }
        }
        assertThat(accepted).isEmpty();
    }

    @Test
    void testInterimResponseIsNotTheResponse() {
        answer = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + STATUS;
        assertThat(responds(true)).isFalse();
        assertThat(responds(false)).isFalse();
    }

    /** The test itself would see a complete response. */
    @Test
    void testCompleteHeadIsAccepted() {
        answer = STATUS + "Content-Length: 23\r\n\r\n" + BODY;
        assertThat(responds(true)).isTrue();
        assertThat(responds(false)).isTrue();
    }

    /** Returns whether a request is answered with a response. */
    private boolean responds(boolean repeatable) {
        return loop.call(() -> start(repeatable));
    }

    private Promise<Boolean> start(boolean repeatable) {
        HttpTargetConnector connector =
                new HttpTargetConnector(
                        AsyncHttpClient.single(
                                loop.loop(), loop.loop()::currentTimeMillis, 1 << 20));
        String address = "127.0.0.1:" + server.getLocalPort();
        Target target = new Target("t", address, "d", PoolKind.MODEL, List.of("m"), 2, true);
        TargetRequest request =
                new TargetRequest(
                        "r",
                        "POST",
                        "/v1/completions",
                        List.of(),
                        "{}".getBytes(StandardCharsets.UTF_8),
                        5,
                        repeatable,
                        5_000);
        return connector
                .start(target, request)
                .then(
                        (response, failure) -> {
                            if (response != null) {
                                response.body().close();
                            }
                            return Promise.of(failure == null);
                        });
    }

    private void serve() {
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                byte[] request = new byte[65_536];
                int read = 0;
                while (!new String(request, 0, read, StandardCharsets.US_ASCII).endsWith("{}")) {
                    read += socket.getInputStream().read(request, read, request.length - read);
                }
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            } catch (IOException | IndexOutOfBoundsException expected) {
                // The connector has disconnected.
            }
        }
    }
}
