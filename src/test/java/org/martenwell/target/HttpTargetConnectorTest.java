package org.martenwell.target;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.activej.promise.Promise;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.configuration.PoolKind;
import org.martenwell.configuration.Target;
import org.martenwell.error.MartenwellException;
import org.martenwell.error.Outcome;
import org.martenwell.exchange.CallerServer;
import org.martenwell.exchange.RequestHandler;
import org.martenwell.http.AsyncHttpClient;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;
import org.martenwell.standin.StandinTarget;
import org.martenwell.standin.TargetSettings;

/** Tests the connector against a simulated target. */
class HttpTargetConnectorTest {

    private final List<String> ports = LoopbackPorts.free(2);

    private final Target target = target(ports.get(0));
    private EventLoopThread loop;
    private HttpTargetConnector connector;

    @BeforeEach
    void startTarget() {
        loop = EventLoopThread.start("targets");
        TargetSettings settings =
                new TargetSettings(
                        "t", ports.get(0), PoolKind.MODEL, List.of("m"), 2, 500, 5, 10, 0, 1, true);
        loop.call(() -> new StandinTarget(loop.loop(), settings).start());
        connector =
                loop.call(
                        () ->
                                Promise.of(
                                        new HttpTargetConnector(
                                                AsyncHttpClient.single(
                                                        loop.loop(),
                                                        loop.loop()::currentTimeMillis,
                                                        1 << 20))));
    }

    @AfterEach
    void stopTarget() {
        loop.stop();
    }

    @Test
    void testLoadIsReported() {
        LoadReport report = loop.call(() -> connector.load(target));
        assertThat(report).isEqualTo(new LoadReport(2, 0, 0, false, List.of("m")));
    }

    @Test
    void testCacheEventsReportPromptPrefixes() {
        start("one");
        start("one");
        start("two");
        List<CacheEvent> events = loop.call(() -> connector.cacheEvents(target, 0));
        assertThat(events).hasSize(2).allMatch(CacheEvent::held);
        assertThat(loop.call(() -> connector.cacheEvents(target, 1))).hasSize(1);
    }

    @Test
    void testOrderWithAnOutdatedFenceIsRejected() {
        loop.call(() -> connector.order(target, new TargetOrder(5, "m", true)));
        assertThatThrownBy(
                        () ->
                                loop.call(
                                        () ->
                                                connector.order(
                                                        target, new TargetOrder(4, "m", false))))
                .isInstanceOf(MartenwellException.class);
    }

    @Test
    void testFailedConnectionHasOutcomeNotRun() {
        assertThatThrownBy(
                        () -> loop.call(() -> connector.start(target(ports.get(1)), request("x"))))
                .isInstanceOfSatisfying(
                        MartenwellException.class,
                        failure -> assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN));
    }

    /** Guards against a body that ends with its connection and is taken for a complete one. */
    @Test
    void testResponseThatEndsWithItsConnectionIsNotFramed() {
        assertThat(respond(each -> each.respond(200, headers(), bytes("part"))).framed()).isTrue();
        assertThat(
                        respond(each -> each.respondCloseDelimited(200, headers(), bytes("part")))
                                .framed())
                .isFalse();
    }

    private TargetResponse respond(RequestHandler handler) {
        String address = LoopbackPorts.free(1).get(0);
        CallerServer server = new CallerServer(loop.loop(), IpAddress.of(address), handler);
        loop.call(server::start);
        TargetResponse response = loop.call(() -> connector.start(target(address), request("one")));
        loop.call(
                () -> {
                    response.body().close();
                    return server.stop();
                });
        return response;
    }

    private static HttpHeaders headers() {
        return DefaultHttpHeadersFactory.headersFactory().newHeaders();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void start(String prompt) {
        TargetResponse response = loop.call(() -> connector.start(target, request(prompt)));
        assertThat(response.status()).isEqualTo(200);
        loop.call(
                () -> {
                    response.body().close();
                    return Promise.complete();
                });
    }

    private static TargetRequest request(String prompt) {
        String body = "{\"model\":\"m\",\"stream\":true,\"prompt\":\"" + prompt + "\"}";
        return new TargetRequest(
                prompt,
                "POST",
                "/v1/completions",
                List.of(),
                body.getBytes(StandardCharsets.UTF_8),
                5,
                true,
                2_000);
    }

    private static Target target(String address) {
        return new Target("t", address, "d", PoolKind.MODEL, List.of("m"), 2, true);
    }
}
