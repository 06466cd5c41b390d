package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
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
 * Guards against the loss of a part of a head that is read together with the request before it,
 * after whose response the connection counts as idle.
 */
final class SplitHeadBehindARequestTest {

    /** The time in which sent bytes arrive, in milliseconds. */
    private static final long ARRIVAL_MILLIS = 200;

    private static final String FIRST_AND_PART =
            "GET /wait HTTP/1.1|Host: x||GET /next HTTP/1.1|Ho";

    private static final String REST = "st: x||";

    private final EventLoopThread thread = EventLoopThread.start("split-head");

    private final InetSocketAddress address = IpAddress.of(LoopbackPorts.free(1).get(0));

    private final BlockingQueue<CallerExchange> held = new LinkedBlockingQueue<>();

    private CallerServer server;

    @BeforeEach
    void start() {
        server = new CallerServer(thread.loop(), address, this::handle);
        server.setLimits(new ConnectionLimits(16_384, 1 << 20, 60_000, 60_000));
        thread.call(server::start);
    }

    @AfterEach
    void stop() {
        thread.call(server::stop);
        thread.stop();
    }

    @Test
    void testRequestIsAnsweredThoughTheLimitOfHeadersChanges() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            beginAndRespond(client);
            ConnectionLimits larger = new ConnectionLimits(32_768, 1 << 20, 60_000, 60_000);
            thread.loop().submit(() -> server.setLimits(larger)).get();
            client.send(REST);
            assertThat(client.readUntil("/next")).startsWith("HTTP/1.1 200").endsWith("/next");
        }
    }

    @Test
    void testRequestInPartIsNotClosedAsIdle() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            beginAndRespond(client);
            BusyLoop.block(4 * ARRIVAL_MILLIS);
            thread.loop().submit(server::drain).get();
            thread.loop().submit(server::closeIdle).get();
            client.send(REST);
            assertThat(client.readAll()).startsWith("HTTP/1.1 200").endsWith("/next");
        }
    }

    private void beginAndRespond(RawHttpClient client) throws Exception {
        client.send(FIRST_AND_PART);
        CallerExchange first = held.take();
        BusyLoop.block(ARRIVAL_MILLIS);
        thread.loop().submit(() -> respond(first)).get();
        client.readUntil("/wait");
    }

    private void handle(CallerExchange exchange) {
        if (exchange.request().path().equals("/wait")) {
            held.add(exchange);
        } else {
            respond(exchange);
        }
    }

    private static void respond(CallerExchange exchange) {
        exchange.respond(
                200,
                DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                exchange.request().path().getBytes(StandardCharsets.UTF_8));
    }
}
