package org.martenwell.router;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.activej.promise.Promise;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.admission.AdmissionControl;
import org.martenwell.configuration.ActiveConfiguration;
import org.martenwell.configuration.Contract;
import org.martenwell.configuration.FleetConfiguration;
import org.martenwell.configuration.Organisation;
import org.martenwell.configuration.Policy;
import org.martenwell.configuration.Pool;
import org.martenwell.configuration.PoolKind;
import org.martenwell.configuration.Repeatability;
import org.martenwell.configuration.Service;
import org.martenwell.configuration.Target;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.exchange.CallerExchange;
import org.martenwell.exchange.CallerServer;
import org.martenwell.exchange.RequestHandler;
import org.martenwell.http.AsyncHttpClient;
import org.martenwell.message.PeerMessage;
import org.martenwell.schedule.CoordinatorReference;
import org.martenwell.schedule.SchedulingParameters;
import org.martenwell.service.BusyLoop;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;
import org.martenwell.service.ResponsiveClock;
import org.martenwell.target.HttpTargetConnector;
import org.martenwell.target.TargetRequest;

/**
 * Guards against a router's busy event loop that fails requests whose responses have arrived, since
 * their timeouts fire before it reads the bodies.
 */
final class BusyLoopDispatchTest {

    private static final long TIMEOUT_MILLIS = 400;

    /** Longer than the timeout of a request, in milliseconds. */
    private static final long BUSY_MILLIS = 1_000;

    /** The delay between the head and the body of a response, in milliseconds. */
    private static final long BODY_DELAY_MILLIS = 150;

    /** The time after the begin of a request at which the loop blocks, in milliseconds. */
    private static final long HEAD_MILLIS = 100;

    /** The longest time in which a request to a silent target fails, in milliseconds. */
    private static final long SILENCE_BOUND_MILLIS = 3_000;

    private static final Contract CONTRACT =
            new Contract("c", "p", 1, 10, 1_000, 1_000, 10, 10_000);

    private static final Organisation ORGANISATION =
            new Organisation("o", "c", Map.of(), List.of());

    private final EventLoopThread serverThread = EventLoopThread.start("punctual-target");

    private final EventLoopThread thread = EventLoopThread.start("busy-router");

    private final String address = LoopbackPorts.free(1).get(0);

    private ResponsiveClock clock;

    private RequestDispatcher dispatcher;

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
    void testResponseToABusyLoopIsPassedOn() {
        serve(exchange -> respond(exchange, true));
        blockLater();
        assertThat(dispatch().status()).isEqualTo(200);
    }

    @Test
    void testResponseWithoutItsBodyFailsInTime() {
        serve(exchange -> respond(exchange, false));
        blockLater();
        long startNanos = System.nanoTime();
        assertThatThrownBy(this::dispatch)
                .isInstanceOfSatisfying(
                        MartenwellException.class,
                        failure -> assertThat(failure.kind()).isEqualTo(ErrorKind.TARGET_FAILED));
        assertThat(Duration.ofNanos(System.nanoTime() - startNanos).toMillis())
                .isLessThan(SILENCE_BOUND_MILLIS);
    }

    /** Blocks the loop behind the head of the response. */
    private void blockLater() {
        CompletableFuture.delayedExecutor(HEAD_MILLIS, TimeUnit.MILLISECONDS)
                .execute(() -> thread.loop().execute(() -> BusyLoop.block(BUSY_MILLIS)));
    }

    /** Sends the head of a response and, if it is complete, its body behind it. */
    private void respond(CallerExchange exchange, boolean complete) {
        exchange.begin(200, DefaultHttpHeadersFactory.headersFactory().newHeaders());
        exchange.write(new byte[] {'a'});
        if (complete) {
            serverThread.loop().delay(BODY_DELAY_MILLIS, exchange::end);
        }
    }

    private RoutedResponse dispatch() {
        return thread.call(
                () ->
                        dispatcher.dispatch(
                                new RoutedRequest(
                                        new TargetRequest(
                                                "id",
                                                "GET",
                                                "/",
                                                List.of(),
                                                new byte[0],
                                                5,
                                                false,
                                                TIMEOUT_MILLIS),
                                        ORGANISATION,
                                        CONTRACT,
                                        Pool.ofService("s"),
                                        0,
                                        false,
                                        0,
                                        1)));
    }

    private void serve(RequestHandler handler) {
        CallerServer server = new CallerServer(serverThread.loop(), IpAddress.of(address), handler);
        serverThread.call(server::start);
        dispatcher = thread.call(() -> Promise.of(createDispatcher()));
    }

    private RequestDispatcher createDispatcher() {
        Target target = new Target("t", address, "d", PoolKind.SERVICE, List.of("s"), 1, false);
        FleetScheduler scheduler =
                new FleetScheduler(
                        thread.loop(),
                        "router",
                        1,
                        SchedulingParameters.DEFAULTS,
                        new UnusedSender());
        scheduler.configure(
                ActiveConfiguration.of(
                        1,
                        new FleetConfiguration(
                                List.of(),
                                List.of(new Service("s", Repeatability.NEVER, 1_000, 1)),
                                List.of(CONTRACT),
                                List.of(new Policy("p", "allow(5)")),
                                List.of(ORGANISATION),
                                List.of(target),
                                List.of())));
        scheduler.assign(
                List.of(target),
                Map.of("t", new CoordinatorReference("router", 1)),
                Set.of("router"));
        return new RequestDispatcher(
                thread.loop(),
                clock::millis,
                "router",
                scheduler,
                new HttpTargetConnector(
                        AsyncHttpClient.single(thread.loop(), clock::millis, 1 << 10)),
                new AdmissionControl(10, 10_000),
                refused -> {},
                new RouterMetrics());
    }

    /** Sends no messages, since there are no peers. */
    private static final class UnusedSender implements MessageSender {

        @Override
        public void send(String peer, PeerMessage message) {}

        @Override
        public void broadcast(PeerMessage message) {}
    }
}
