package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.martenwell.service.Conditions.await;

import io.activej.promise.Promise;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import java.lang.reflect.Proxy;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.exchange.Body;
import org.martenwell.exchange.CallerServer;
import org.martenwell.exchange.OutboundRequest;
import org.martenwell.observe.Defects;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;

/** Guards against an engine that is never polled again after one answer that can't be read. */
final class CacheChangePollerTest {

    private final EventLoopThread thread = EventLoopThread.start("cache-changes");

    private final String address = LoopbackPorts.free(1).get(0);

    private final AtomicInteger polls = new AtomicInteger();

    private final CallerServer engine =
            new CallerServer(
                    thread.loop(),
                    IpAddress.of(address),
                    exchange -> {
                        polls.incrementAndGet();
                        exchange.respond(
                                200,
                                DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                                new byte[] {'x'});
                    });

    @AfterEach
    void stop() {
        thread.stop();
    }

    @Test
    void testEngineIsPolledAgainAfterAnAnswerThatCannotBeRead() {
        startPoller(new OutOfMemoryError("deliberate"));
        await(() -> polls.get() > 2);
    }

    /** Guards against a fault of an engine that is recorded as a defect of the gateway. */
    @Test
    void testUnreadableAnswerIsNoDefect() {
        long before = Defects.count();
        startPoller(MartenwellException.of(ErrorKind.MALFORMED_REQUEST, "deliberate"));
        await(() -> polls.get() > 2);
        assertThat(Defects.count()).isEqualTo(before);
    }

    private GatewayCore createCore(Throwable failure) {
        GatewayCore core =
                new GatewayCore(
                        thread.loop(),
                        dialect(failure),
                        GatewayCores.settings("self", "x", "127.0.0.1:1"),
                        new Random(1),
                        new GatewayLog(thread.loop()));
        core.clock().start();
        core.targets()
                .update(
                        Map.of(
                                "t",
                                new DirectoryTarget(
                                        "t",
                                        OptionalLong.of(1),
                                        GatewayCores.SERVICE,
                                        IpAddress.of(address),
                                        "x",
                                        10,
                                        false)),
                        0);
        return core;
    }

    private void startPoller(Throwable failure) {
        thread.call(engine::start);
        thread.call(
                () -> {
                    GatewayCore core = createCore(failure);
                    return Promise.of(
                            CacheChangePoller.start(core, core.targets().find("t").orElseThrow()));
                });
    }

    /** Creates a dialect that can build the requests of a poller, but not read the answers. */
    private static RequestDialect dialect(Throwable failure) {
        return (RequestDialect)
                Proxy.newProxyInstance(
                        RequestDialect.class.getClassLoader(),
                        new Class<?>[] {RequestDialect.class},
                        (proxy, method, arguments) -> {
                            if (method.getName().equals("cacheChangesRequest")) {
                                return new OutboundRequest(
                                        HttpMethod.GET,
                                        "/",
                                        DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                                        Body.EMPTY);
                            }
                            if (method.getName().equals("notice")) {
                                return new AvailabilityNotice(false, 0);
                            }
                            throw failure;
                        });
    }
}
