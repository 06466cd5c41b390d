package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;

/**
 * Guards against an {@code OutOfMemoryError} from idle connections that retain the body buffer of
 * their last request.
 */
final class IdleConnectionMemoryTest {

    private static final int CONNECTIONS = 200;

    /** The size of each request's body, well above the limit per connection. */
    private static final int BODY_BYTES = 100_000;

    /** The maximum heap growth per idle connection, in bytes. */
    private static final long MAX_BYTES_PER_CONNECTION = 10_000;

    private final EventLoopThread thread = EventLoopThread.start("idle-connections");

    private final List<Socket> clients = new ArrayList<>();

    @AfterEach
    void stop() throws IOException {
        for (Socket each : clients) {
            each.close();
        }
        thread.stop();
    }

    @Test
    void testIdleConnectionDoesNotRetainItsLastRequest() throws IOException {
        String address = LoopbackPorts.free(1).get(0);
        CallerServer server =
                new CallerServer(
                        thread.loop(),
                        IpAddress.of(address),
                        exchange ->
                                exchange.respond(
                                        200,
                                        DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                                        new byte[0]));
        thread.call(server::start);
        sendOnNewConnection(address);
        long before = heapBytes();
        for (int count = 0; count < CONNECTIONS; count++) {
            sendOnNewConnection(address);
        }
        assertThat((heapBytes() - before) / CONNECTIONS).isLessThan(MAX_BYTES_PER_CONNECTION);
    }

    /**
     * Sends a request on a new connection, awaits the response's first byte and keeps the
     * connection open.
     */
    private void sendOnNewConnection(String address) throws IOException {
        Socket client =
                new Socket(IpAddress.of(address).getAddress(), IpAddress.of(address).getPort());
        clients.add(client);
        String head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
        client.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        client.getOutputStream().write(new byte[BODY_BYTES]);
        assertThat(client.getInputStream().read()).isEqualTo('H');
    }

    private static long heapBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
