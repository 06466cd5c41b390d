package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.service.BusyLoop;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;

/**
 * Guards against connections that are closed earlier than the head of their last response said,
 * since the limits changed before its end.
 */
final class IdleTimeoutBehindAStreamTest {

    /** A time behind the shorter idle timeout and far before the one that was told. */
    private static final long WAIT_MILLIS = 2_500;

    private static final ConnectionLimits LONG_IDLE =
            new ConnectionLimits(16_384, 1 << 20, 60_000, 60_000);

    private static final ConnectionLimits SHORT_IDLE =
            new ConnectionLimits(16_384, 1 << 20, 60_000, 200);

    private final EventLoopThread thread = EventLoopThread.start("idle-behind-a-stream");

    private final InetSocketAddress address = IpAddress.of(LoopbackPorts.free(1).get(0));

    private final BlockingQueue<CallerExchange> streams = new LinkedBlockingQueue<>();

    private final List<RawHttpClient> others = new ArrayList<>();

    private CallerServer server;

    @BeforeEach
    void start() throws Exception {
        server = new CallerServer(thread.loop(), address, this::handle);
        server.setLimits(LONG_IDLE);
        server.setMaxConnections(5);
        thread.call(server::start);
        for (int count = 0; count < 3; count++) {
            RawHttpClient other = new RawHttpClient(address);
            others.add(other);
            other.send("GET /other HTTP/1.1|Host: x||").readUntil("/other");
        }
    }

    @AfterEach
    void stop() throws Exception {
        for (RawHttpClient each : others) {
            each.close();
        }
        thread.call(server::stop);
        thread.stop();
    }

    @Test
    void testConnectionBehindAStreamIsKeptForAsLongAsItsHeadSaid() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /stream HTTP/1.1|Host: x||");
            assertThat(client.readUntil("piece")).containsIgnoringCase("keep-alive: timeout=40");
            CallerExchange stream = streams.take();
            thread.loop().submit(() -> server.setLimits(SHORT_IDLE)).get();
            thread.loop().submit(stream::end).get();
            client.readUntil("0\r\n\r\n");
            BusyLoop.block(WAIT_MILLIS);
            client.send("GET /next HTTP/1.1|Host: x||");
            assertThat(client.readUntil("/next")).startsWith("HTTP/1.1 200");
        }
    }

    private void handle(CallerExchange exchange) {
        if (exchange.request().path().equals("/stream")) {
            exchange.begin(200, DefaultHttpHeadersFactory.headersFactory().newHeaders());
            exchange.write("piece".getBytes(StandardCharsets.UTF_8));
            streams.add(exchange);
        } else {
            exchange.respond(
                    200,
                    DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                    exchange.request().path().getBytes(StandardCharsets.UTF_8));
        }
    }
}
