package org.martenwell.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.schedule.SchedulingParameters;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;
import org.martenwell.settings.RouterLimits;
import org.martenwell.settings.RouterSettings;

class RouterDaemonTest {

    private static final RouterLimits LIMITS =
            new RouterLimits(1024, 2, 10, 10_000, 1_000, 1_000, 0);

    private final List<String> ports = LoopbackPorts.free(4);
    private EventLoopThread loop;
    private RouterDaemon router;

    @BeforeEach
    void startRouter() {
        loop = EventLoopThread.start("router");
        RouterSettings settings =
                new RouterSettings(
                        "router",
                        "domain",
                        ports.get(0),
                        ports.get(1),
                        ports.get(2),
                        ports.get(3),
                        "operators-token-1",
                        "peer-key-of-32-characters-or-more",
                        Optional.empty(),
                        Optional.of(LIMITS));
        router =
                loop.call(
                        () ->
                                Promise.of(
                                        new RouterDaemon(
                                                loop.loop(),
                                                settings,
                                                SchedulingParameters.DEFAULTS,
                                                1)));
        loop.call(router::start);
    }

    @AfterEach
    void stopRouter() {
        loop.stop();
    }

    @Test
    void testConnectionBeyondLimitIsClosed() throws IOException {
        try (Socket one = connect(0);
                Socket two = connect(0)) {
            assertThat(exchange(one, "GET /v1/models", "")).contains("not_ready");
            assertThat(exchange(two, "GET /v1/models", "")).contains("not_ready");
            try (Socket three = connect(0)) {
                assertThat(three.getInputStream().read()).isEqualTo(-1);
            }
            assertThat(exchange(one, "GET /v1/models", "")).contains("not_ready");
        }
    }

    @Test
    void testChangesRequireOperatorsToken() throws IOException {
        try (Socket socket = connect(1)) {
            assertThat(exchange(socket, "POST /drain", "")).startsWith("HTTP/1.1 401");
            assertThat(exchange(socket, "PUT /configuration", "Authorization: Bearer no\r\n"))
                    .startsWith("HTTP/1.1 401");
            assertThat(
                            exchange(
                                    socket,
                                    "POST /drain",
                                    "Authorization: Bearer operators-token-1\r\n"))
                    .startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void testRouterWithoutConfigurationIsHealthyButNotReady() throws IOException {
        try (Socket socket = connect(1)) {
            assertThat(exchange(socket, "GET /health", "")).startsWith("HTTP/1.1 200");
            assertThat(exchange(socket, "GET /ready", "")).startsWith("HTTP/1.1 503");
            assertThat(exchange(socket, "GET /metrics", ""))
                    .contains("martenwell_requests_waiting 0");
        }
    }

    @Test
    void testPeerWithWrongKeyIsDisconnectedAndCounted() throws IOException {
        try (Socket socket = connect(2)) {
            byte[] nonce = new byte[16];
            assertThat(socket.getInputStream().readNBytes(nonce, 0, 16)).isEqualTo(16);
            socket.getOutputStream().write(new byte[] {12, 1, 2, 3, 4, 5, 6, 7, 8, 9, 1, 2, 3});
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
        try (Socket socket = connect(1)) {
            assertThat(exchange(socket, "GET /metrics", ""))
                    .contains("martenwell_peer_frames_refused 1");
        }
    }

    private Socket connect(int port) throws IOException {
        InetSocketAddress address = IpAddress.of(ports.get(port));
        return new Socket(address.getAddress(), address.getPort());
    }

    private static String exchange(Socket socket, String line, String headers) throws IOException {
        String request =
                line + " HTTP/1.1\r\nHost: router\r\nContent-Length: 0\r\n" + headers + "\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        byte[] buffer = new byte[16_384];
        int count = socket.getInputStream().read(buffer);
        return new String(buffer, 0, Math.max(0, count), StandardCharsets.UTF_8);
    }
}
