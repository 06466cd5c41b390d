package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.activej.promise.Promise;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.error.MartenwellException;
import org.martenwell.service.BusyLoop;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.ResponsiveClock;

/**
 * Guards against a busy event loop that fails its calls to the store, since their timeouts fire
 * before it reads the responses.
 */
final class BusyLoopCallTest {

    private static final long TIMEOUT_MILLIS = 400;

    /** Longer than the timeout of a call, in milliseconds. */
    private static final long BUSY_MILLIS = 1_000;

    /** The longest time in which a call to a silent server fails, in milliseconds. */
    private static final long SILENCE_BOUND_MILLIS = 2_000;

    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

    private final EventLoopThread thread = EventLoopThread.start("busy-calls");

    private ResponsiveClock clock;

    @BeforeEach
    void start() {
        clock = thread.call(() -> Promise.of(new ResponsiveClock(thread.loop())));
        thread.call(clock::start);
    }

    @AfterEach
    void stop() {
        thread.stop();
    }

    @Test
    void testCallOnANewConnectionSucceeds() throws Exception {
        try (RawTarget target = new RawTarget(RawTarget.Ending.KEEP, RESPONSE)) {
            assertThat(call(client(target), BUSY_MILLIS).status()).isEqualTo(200);
        }
    }

    @Test
    void testCallOnAnIdleConnectionSucceeds() throws Exception {
        try (RawTarget target = new RawTarget(RawTarget.Ending.KEEP, RESPONSE)) {
            InternalHttpClient client = client(target);
            call(client, 0);
            assertThat(call(client, BUSY_MILLIS).status()).isEqualTo(200);
            assertThat(target.connections()).isEqualTo(1);
        }
    }

    @Test
    void testCallToASilentServerFailsInTime() throws Exception {
        try (RawTarget target = new RawTarget(RawTarget.Ending.KEEP, "")) {
            InternalHttpClient client = client(target);
            long startNanos = System.nanoTime();
            assertThatThrownBy(() -> call(client, 0)).isInstanceOf(MartenwellException.class);
            assertThatThrownBy(() -> call(client, BUSY_MILLIS))
                    .isInstanceOf(MartenwellException.class);
            assertThat(Duration.ofNanos(System.nanoTime() - startNanos).toMillis())
                    .isLessThan(SILENCE_BOUND_MILLIS + TIMEOUT_MILLIS);
        }
    }

    private InternalHttpClient client(RawTarget target) {
        return thread.call(
                () ->
                        Promise.of(
                                new InternalHttpClient(
                                        thread.loop(), clock::millis, target.address())));
    }

    /** Makes a call and blocks the loop before it can read the response. */
    private BufferedResponse call(InternalHttpClient client, long busyMillis) {
        return thread.call(
                () -> {
                    Promise<BufferedResponse> response =
                            client.call(
                                    new OutboundRequest(
                                            HttpMethod.GET,
                                            "/",
                                            DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                                            Body.EMPTY),
                                    TIMEOUT_MILLIS);
                    BusyLoop.block(busyMillis);
                    return response;
                });
    }
}
