package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
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
 * Guards against requests that are read and discarded behind a stream whose head said that its
 * connection stays open, when a graceful shutdown began in between.
 */
final class DrainBehindAStreamTest {

    /** The time in which sent bytes arrive, in milliseconds. */
    private static final long ARRIVAL_MILLIS = 200;

    private static final String STREAM = "GET /stream HTTP/1.1|Host: x||";

    private static final String NEXT = "GET /next HTTP/1.1|Host: x||";

    private final EventLoopThread thread = EventLoopThread.start("drain-behind-a-stream");

    private final InetSocketAddress address = IpAddress.of(LoopbackPorts.free(1).get(0));

    private final BlockingQueue<CallerExchange> streams = new LinkedBlockingQueue<>();

    private CallerServer server;

    @BeforeEach
    void start() {
        server = new CallerServer(thread.loop(), address, this::handle);
        thread.call(server::start);
    }

    @AfterEach
    void stop() {
        thread.call(server::stop);
        thread.stop();
    }

    @Test
    void testRequestThatArrivesWithTheEndOfTheStreamIsAnswered() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            CallerExchange stream = begin(client);
            thread.loop()
                    .submit(
                            () -> {
                                server.drain();
                                send(client, NEXT);
                                BusyLoop.block(ARRIVAL_MILLIS);
                                stream.end();
                            })
                    .get();
            assertNextIsAnswered(client);
        }
    }

    @Test
    void testRequestSentBeforeTheEndOfTheStreamIsAnswered() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            CallerExchange stream = begin(client);
            drain();
            client.send(NEXT);
            BusyLoop.block(ARRIVAL_MILLIS);
            end(stream);
            assertNextIsAnswered(client);
        }
    }

    @Test
    void testRequestSentRightBehindTheEndOfTheStreamIsAnswered() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            CallerExchange stream = begin(client);
            drain();
            end(stream);
            client.readUntil("0\r\n\r\n");
            client.send(NEXT);
            assertNextIsAnswered(client);
        }
    }

    @Test
    void testStreamThatBeginsDuringTheShutdownAnnouncesTheClose() throws Exception {
        drain();
        try (RawHttpClient client = new RawHttpClient(address)) {
            CallerExchange stream = begin(client);
            end(stream);
            assertThat(client.readAll()).endsWith("0\r\n\r\n");
        }
    }

    @Test
    void testConnectionBehindTheStreamIsClosedOnceItIsIdle() throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            CallerExchange stream = begin(client);
            drain();
            end(stream);
            client.readUntil("0\r\n\r\n");
            for (int count = 0; count < 5; count++) {
                BusyLoop.block(ARRIVAL_MILLIS);
                thread.loop().submit(server::closeIdle).get();
            }
            assertThat(client.readAll()).isEmpty();
        }
    }

    private CallerExchange begin(RawHttpClient client) throws Exception {
        client.send(STREAM).readUntil("piece");
        return streams.take();
    }

    private void drain() throws Exception {
        thread.loop().submit(server::drain).get();
    }

    private void end(CallerExchange stream) throws Exception {
        thread.loop().submit(stream::end).get();
    }

    private static void send(RawHttpClient client, String request) {
        try {
            client.send(request);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static void assertNextIsAnswered(RawHttpClient client) throws Exception {
        assertThat(client.readAll())
                .contains("HTTP/1.1 200 OK")
                .containsIgnoringCase("connection: close")
                .endsWith("/next");
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
