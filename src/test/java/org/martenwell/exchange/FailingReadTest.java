package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;
import org.martenwell.service.ServerStarter;

/**
 * Guards against callers without an answer, and connections that stay counted, since the read of a
 * caller's socket itself failed, as for lack of heap.
 */
final class FailingReadTest {

    private final EventLoopThread thread = EventLoopThread.start("failing-reads");

    private final InetSocketAddress address = IpAddress.of(LoopbackPorts.free(1).get(0));

    private final BlockingQueue<ClosedConnection> closed = new LinkedBlockingQueue<>();

    /** Holds the limits and the state of connections; it doesn't listen itself. */
    private final CallerServer state =
            new CallerServer(thread.loop(), address, exchange -> exchange.abort());

    private SimpleServer server;

    @BeforeEach
    void start() {
        state.onClose(closed::add);
        server =
                SimpleServer.builder(thread.loop(), this::accepted)
                        .withListenAddress(address)
                        .build();
        thread.call(() -> ServerStarter.start(server));
    }

    @AfterEach
    void stop() {
        thread.call(() -> server.close().toVoid());
        thread.stop();
    }

    @Test
    void testRequestWhoseReadFailsIsRefused() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /a HTTP/1.1|Host: x||");
            assertThat(client.readAll()).startsWith("HTTP/1.1 503");
        }
        ClosedConnection connection = closed.poll(5, TimeUnit.SECONDS);
        assertThat(connection).isNotNull();
        assertThat(connection.reason()).isEqualTo(CloseReason.DEFECT);
    }

    private void accepted(ITcpSocket socket) {
        CallerConnection connection = new CallerConnection(thread.loop(), socket, state);
        ((TcpSocket) socket).setInspector(new FailingReads());
        connection.start();
    }
}
