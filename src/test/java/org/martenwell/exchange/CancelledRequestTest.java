package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.Promise;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.martenwell.service.EventLoopThread;

/**
 * Guards against requests that reach their target after they were cancelled, because the system
 * still delivers what the connection had buffered.
 */
final class CancelledRequestTest {

    /** Far less than the request, so that the target's system can't take all of it. */
    private static final int TARGET_BUFFER_BYTES = 4_096;

    /** Small enough for the buffer of the sending system. */
    private static final int BODY_BYTES = 200_000;

    private static final String BODY_END = "end of the body";

    /** The time in which the request fills the buffers, in milliseconds. */
    private static final long SEND_MILLIS = 300;

    private final EventLoopThread thread = EventLoopThread.start("cancelled-request");

    private ServerSocket target;

    @BeforeEach
    void listen() throws IOException {
        target = new ServerSocket();
        target.setReceiveBufferSize(TARGET_BUFFER_BYTES);
        target.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void stop() throws IOException {
        thread.stop();
        target.close();
    }

    @Test
    @Timeout(30)
    void testCancelledRequestIsNotDeliveredCompletely() throws Exception {
        TargetConnection connection = send();
        Thread.sleep(SEND_MILLIS);
        cancel(connection);
        assertThat(received()).doesNotContain(BODY_END);
    }

    @Test
    @Timeout(30)
    void testRequestIsDeliveredCompletely() throws Exception {
        send();
        try (Socket accepted = target.accept()) {
            assertThat(readUntil(accepted.getInputStream(), BODY_END)).contains(BODY_END);
        }
    }

    private TargetConnection send() throws InterruptedException {
        BlockingQueue<TargetConnection> opened = new LinkedBlockingQueue<>();
        Body body =
                Body.of(("x".repeat(BODY_BYTES) + BODY_END).getBytes(StandardCharsets.US_ASCII));
        OutboundRequest request =
                new OutboundRequest(
                        HttpMethod.POST,
                        "/",
                        DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                        body);
        run(
                () ->
                        new TargetConnections(
                                        thread.loop(),
                                        (InetSocketAddress) target.getLocalSocketAddress(),
                                        1_000,
                                        KeepAlive.NONE,
                                        ResponseHeadListener.NONE)
                                .send(request, new IgnoredResponse(), opened::add));
        return opened.take();
    }

    /**
     * Cancels a request and waits for the event loop's next turn, since a socket that is registered
     * with a selector is reset only when the selector runs again.
     */
    private void cancel(TargetConnection connection) {
        long turn =
                thread.call(
                        () -> {
                            connection.cancel();
                            return Promise.of(thread.loop().tick());
                        });
        while (thread.call(() -> Promise.of(thread.loop().tick())) == turn) {
            Thread.onSpinWait();
        }
    }

    private void run(Runnable action) {
        thread.call(
                () -> {
                    action.run();
                    return Promise.complete();
                });
    }

    /** Returns what the target's connection delivers until it ends or is reset. */
    private String received() throws IOException {
        try (Socket accepted = target.accept()) {
            return readUntil(accepted.getInputStream(), BODY_END);
        }
    }

    private static String readUntil(InputStream input, String end) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        byte[] chunk = new byte[TARGET_BUFFER_BYTES];
        try {
            for (int count = input.read(chunk); count >= 0; count = input.read(chunk)) {
                bytes.write(chunk, 0, count);
                if (bytes.toString(StandardCharsets.US_ASCII).endsWith(end)) {
                    break;
                }
            }
        } catch (IOException exception) {
            // The sender reset the connection.
        }
        return bytes.toString(StandardCharsets.US_ASCII);
    }

    /** A listener that ignores the response. */
    private static final class IgnoredResponse implements ResponseListener {

        @Override
        public ResponseMatch match(HttpResponse head) {
            return ResponseMatch.SAME;
        }

        @Override
        public void headReceived(HttpResponse head) {}

        @Override
        public void bodyPartReceived(byte[] piece) {}

        @Override
        public void completed(ResponseFraming framing) {}

        @Override
        public void failed(ResponseFailure failure) {}
    }
}
