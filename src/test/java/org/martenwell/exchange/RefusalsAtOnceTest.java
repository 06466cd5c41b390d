package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.service.BusyLoop;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;

/**
 * Guards against refusals beyond the limit of connections that a reset destroys, since another
 * connection is refused before their callers have sent their requests.
 */
final class RefusalsAtOnceTest {

    /** The time in which sent bytes arrive, in milliseconds. */
    private static final long ARRIVAL_MILLIS = 200;

    private static final int CALLERS = 4;

    private static final String LARGE =
            "POST /a HTTP/1.1|Host: x|Content-Length: 8388608||" + "x".repeat(8 << 20);

    private final EventLoopThread thread = EventLoopThread.start("refusals-at-once");

    private final InetSocketAddress address = IpAddress.of(LoopbackPorts.free(1).get(0));

    private final BlockingQueue<CallerExchange> held = new LinkedBlockingQueue<>();

    private CallerServer server;

    @BeforeEach
    void start() {
        server = new CallerServer(thread.loop(), address, held::add);
        server.setLimits(new ConnectionLimits(1_024, 64 << 20, 60_000, 60_000));
        server.setMaxConnections(1);
        thread.call(server::start);
    }

    @AfterEach
    void stop() {
        thread.call(server::stop);
        thread.stop();
    }

    @Test
    void testCallersThatAreRefusedAtOnceCanAllReadTheirRefusals() throws Exception {
        try (RawHttpClient busy = new RawHttpClient(address)) {
            busy.send("GET /wait HTTP/1.1|Host: x||");
            held.take();
            thread.loop().execute(() -> BusyLoop.block(2 * ARRIVAL_MILLIS));
            List<CompletableFuture<String>> calls =
                    Stream.generate(() -> CompletableFuture.supplyAsync(this::callLarge))
                            .limit(CALLERS)
                            .toList();
            assertThat(calls)
                    .extracting(CompletableFuture::join)
                    .allSatisfy(each -> assertThat(each).startsWith("HTTP/1.1 503"));
        }
    }

    private String callLarge() {
        try (RawHttpClient client = new RawHttpClient(address)) {
            return client.send(LARGE).readAll();
        } catch (IOException exception) {
            return exception.toString();
        }
    }
}
