package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.martenwell.service.EventLoopThread;

/**
 * Guards against a call that is made as soon as another one completes and is given bytes that had
 * arrived behind the response to that one.
 */
class RemainderOfReadTest {

    private static final String FIRST = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";

    private static final String EXTRA = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nxy";

    private static final String SECOND = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\ncd";

    private static final long TIMEOUT_MILLIS = 5_000;

    private final EventLoopThread thread = EventLoopThread.start("remainder-of-read");

    /** The length of the remainder, in bytes. */
    @ParameterizedTest
    @ValueSource(ints = {1, 9, 17, 39, 40})
    void testNextCallIsNotGivenTheRemainderOfTheRead(int length) throws Exception {
        try (RawTarget target =
                new RawTarget(RawTarget.Ending.KEEP, FIRST + EXTRA.substring(0, length), SECOND)) {
            InternalHttpClient client =
                    new InternalHttpClient(
                            thread.loop(), System::currentTimeMillis, target.address());
            BufferedResponse second =
                    thread.call(
                            () ->
                                    client.call(request(), TIMEOUT_MILLIS)
                                            .then(first -> client.call(request(), TIMEOUT_MILLIS)));
            assertThat(new String(second.body().bytes(), StandardCharsets.US_ASCII))
                    .isEqualTo("cd");
            assertThat(target.connections()).isEqualTo(2);
        } finally {
            thread.stop();
        }
    }

    private static OutboundRequest request() {
        return new OutboundRequest(
                HttpMethod.GET,
                "/",
                DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                Body.EMPTY);
    }
}
