package org.martenwell.gateway;

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
import org.martenwell.exchange.Body;
import org.martenwell.exchange.CallerServer;
import org.martenwell.exchange.OutboundRequest;
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
        thread.call(engine::start);
        thread.call(() -> Promise.of(startPoller()));
        await(() -> polls.get() > 2);
    }

    private GatewayCore createCore() {
        GatewayCore core =
                new GatewayCore(
                        thread.loop(),
                        dialect(),
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

    private CacheChangePoller startPoller() {
        GatewayCore core = createCore();
        return CacheChangePoller.start(core, core.targets().find("t").orElseThrow());
    }

    /** Creates a dialect that can build the requests of a poller, but not read the answers. */
    private static RequestDialect dialect() {
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
                            throw new OutOfMemoryError("deliberate");
                        });
    }
}
