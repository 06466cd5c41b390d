package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.Promise;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.martenwell.service.EventLoopThread;

/** Guards against a directory or a target's own interface that sends bytes without end. */
final class EndlessInternalResponseTest {

    private static final long TIMEOUT_MILLIS = 20_000;

    private static final long FAILURE_MILLIS = 5_000;

    private final EventLoopThread thread = EventLoopThread.start("endless-internal");

    private final ServerSocket server = listen();

    @AfterEach
    void stop() throws IOException {
        server.close();
        thread.stop();
    }

    @Test
    void testCallFailsLongBeforeItsTimeout() {
        Thread endless = new Thread(this::sendWithoutEnd, "endless");
        endless.setDaemon(true);
        endless.start();
        long startNanos = System.nanoTime();
        boolean failed = thread.call(this::callFails);
        assertThat(failed).isTrue();
        assertThat(Duration.ofNanos(System.nanoTime() - startNanos).toMillis())
                .isLessThan(FAILURE_MILLIS);
    }

    private Promise<Boolean> callFails() {
        InternalHttpClient client =
                new InternalHttpClient(
                        thread.loop(),
                        thread.loop()::currentTimeMillis,
                        new InetSocketAddress(server.getInetAddress(), server.getLocalPort()));
        OutboundRequest request =
                new OutboundRequest(
                        HttpMethod.GET,
                        "/",
                        DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                        Body.EMPTY);
        return client.call(request, TIMEOUT_MILLIS)
                .then((response, failure) -> Promise.of(failure != null));
    }

    private void sendWithoutEnd() {
        try (Socket socket = server.accept();
                OutputStream output = socket.getOutputStream()) {
            output.write("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            while (true) {
                output.write(new byte[8_192]);
            }
        } catch (IOException exception) {
            // The client closed the connection.
        }
    }

    private static ServerSocket listen() {
        try {
            return new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
