package org.martenwell.objects;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.martenwell.error.MartenwellException;
import org.martenwell.exchange.CallerServer;
import org.martenwell.http.AsyncHttpClient;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;

/** Guards against routers that follow no box any more because one of them is listed wrongly. */
final class HttpPlatformTest {

    private static final String BOX =
            "{\"name\":\"%s\",\"role\":\"router\",\"address\":\"127.0.0.1:1\","
                    .concat("\"failureDomain\":\"a\",\"state\":\"live\"}");

    private final EventLoopThread thread = EventLoopThread.start("test-platform");

    private final String address = LoopbackPorts.free(1).get(0);

    private final AsyncHttpClient client =
            AsyncHttpClient.pooled(thread.loop(), System::currentTimeMillis, 1 << 20);

    private final HttpPlatform platform = new HttpPlatform(client, address);

    /** The box list. */
    private String document = "";

    private final CallerServer server =
            new CallerServer(
                    thread.loop(),
                    IpAddress.of(address),
                    exchange ->
                            exchange.respond(
                                    200,
                                    DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                                    document.getBytes(StandardCharsets.UTF_8)));

    @BeforeEach
    void start() {
        thread.call(server::start);
        thread.call(client::start);
    }

    @AfterEach
    void stop() {
        thread.call(client::stop);
        thread.call(server::stop);
        thread.stop();
    }

    @Test
    void testMalformedBoxesAreLeftOut() {
        String deep = "[".repeat(100_000) + "]".repeat(100_000);
        List<String> malformed =
                List.of(
                        "null",
                        "5",
                        "[]",
                        "{}",
                        deep,
                        "9".repeat(200_000),
                        "NaN",
                        BOX.formatted("x").replace("router", "other"),
                        BOX.formatted("x").replace("\"live\"", deep),
                        BOX.formatted("x").replace("\"live\"", "null"),
                        BOX.formatted("x").replace("127.0.0.1:1", "127.0.0.1:65536"),
                        BOX.formatted("x").replace("127.0.0.1:1", ""));
        document =
                "["
                        + BOX.formatted("one")
                        + ","
                        + String.join(",", malformed)
                        + ","
                        + BOX.formatted("two")
                        + "]";
        assertThat(thread.call(platform::boxes))
                .extracting(Box::name)
                .containsExactly("one", "two");
    }

    /** Such a document isn't an empty list. */
    @ParameterizedTest
    @ValueSource(strings = {"null", "{}", "[{", "x"})
    void testDocumentsThatAreNoListsFail(String other) {
        document = other;
        assertThatThrownBy(() -> thread.call(platform::boxes))
                .isInstanceOf(MartenwellException.class);
    }
}
