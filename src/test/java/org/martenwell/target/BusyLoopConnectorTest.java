package org.martenwell.target;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.activej.promise.Promise;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.configuration.PoolKind;
import org.martenwell.configuration.Target;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.exchange.CallerExchange;
import org.martenwell.exchange.CallerServer;
import org.martenwell.exchange.RequestHandler;
import org.martenwell.http.AsyncHttpClient;
import org.martenwell.service.BusyLoop;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;
import org.martenwell.service.ResponsiveClock;

/**
 * Guards against a router's busy event loop that fails requests to targets, since their timeouts
 * fire before it reads the heads of the responses.
 */
final class BusyLoopConnectorTest {

    private static final long TIMEOUT_MILLIS = 400;

    /** Longer than the timeout of a request, in milliseconds. */
    private static final long BUSY_MILLIS = 1_000;

    /** Longer than the timeout of a resume, in milliseconds. */
    private static final long BUSY_RESUME_MILLIS = 2_500;

    /** The longest time in which a request to a silent target fails, in milliseconds. */
    private static final long SILENCE_BOUND_MILLIS = 2_000;

    private final EventLoopThread serverThread = EventLoopThread.start("punctual-target");

    private final EventLoopThread thread = EventLoopThread.start("busy-router");

    private final String address = LoopbackPorts.free(1).get(0);

    private final Target target =
            new Target("t", address, "d", PoolKind.MODEL, List.of("m"), 1, true);

    private ResponsiveClock clock;

    private HttpTargetConnector connector;

    @BeforeEach
    void start() {
        clock = thread.call(() -> Promise.of(new ResponsiveClock(thread.loop())));
        thread.call(clock::start);
    }

    @AfterEach
    void stop() {
        thread.stop();
        serverThread.stop();
    }

    @Test
    void testRequestOfABusyLoopSucceeds() {
        serve(BusyLoopConnectorTest::respond);
        assertThat(busy(() -> connector.start(target, request()), 0).status()).isEqualTo(200);
        assertThat(busy(() -> connector.start(target, request()), BUSY_MILLIS).status())
                .isEqualTo(200);
    }

    @Test
    void testResumeOfABusyLoopSucceeds() {
        serve(BusyLoopConnectorTest::respond);
        assertThat(busy(() -> connector.resume(target, "id", "1"), 0).status()).isEqualTo(200);
        assertThat(busy(() -> connector.resume(target, "id", "1"), BUSY_RESUME_MILLIS).status())
                .isEqualTo(200);
    }

    @Test
    void testRequestToASilentTargetFailsInTime() {
        serve(exchange -> {});
        long startNanos = System.nanoTime();
        assertThatThrownBy(() -> busy(() -> connector.start(target, request()), BUSY_MILLIS))
                .isInstanceOfSatisfying(
                        MartenwellException.class,
                        failure -> assertThat(failure.kind()).isEqualTo(ErrorKind.TARGET_TIMEOUT));
        assertThat(Duration.ofNanos(System.nanoTime() - startNanos).toMillis())
                .isLessThan(SILENCE_BOUND_MILLIS);
    }

    private static void respond(CallerExchange exchange) {
        exchange.respond(
                200, DefaultHttpHeadersFactory.headersFactory().newHeaders(), new byte[] {'a'});
    }

    private void serve(RequestHandler handler) {
        CallerServer server = new CallerServer(serverThread.loop(), IpAddress.of(address), handler);
        serverThread.call(server::start);
        connector =
                thread.call(
                        () ->
                                Promise.of(
                                        new HttpTargetConnector(
                                                AsyncHttpClient.single(
                                                        thread.loop(), clock::millis, 1 << 10))));
    }

    /** Makes a call and blocks the loop before it can read the response. */
    private TargetResponse busy(Supplier<Promise<TargetResponse>> call, long busyMillis) {
        return thread.call(
                () -> {
                    Promise<TargetResponse> response = call.get();
                    BusyLoop.block(busyMillis);
                    return response.whenResult(each -> each.body().close());
                });
    }

    private static TargetRequest request() {
        return new TargetRequest("id", "GET", "/", List.of(), new byte[0], 5, true, TIMEOUT_MILLIS);
    }
}
