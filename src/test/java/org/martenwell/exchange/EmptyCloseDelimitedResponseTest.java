package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.martenwell.error.MartenwellException;
import org.martenwell.service.EventLoopThread;

/** Guards against an answer of the store that was cut off behind its head and lists nothing. */
class EmptyCloseDelimitedResponseTest {

    private static final long TIMEOUT_MILLIS = 5_000;

    private final EventLoopThread thread = EventLoopThread.start("test-internal-client");

    @AfterEach
    void stop() {
        thread.stop();
    }

    @Test
    void testEmptyAnswerWithoutFramingFails() throws Exception {
        try (RawTarget target = new RawTarget(RawTarget.Ending.CLOSE, "HTTP/1.1 200 OK\r\n\r\n")) {
            assertThatThrownBy(() -> call(target)).isInstanceOf(MartenwellException.class);
        }
    }

    @Test
    void testEmptyAnswerWithALengthSucceeds() throws Exception {
        String response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        try (RawTarget target = new RawTarget(RawTarget.Ending.CLOSE, response)) {
            assertThat(call(target).body().length()).isZero();
        }
    }

    @Test
    void testAnswerWithoutFramingSucceeds() throws Exception {
        try (RawTarget target =
                new RawTarget(RawTarget.Ending.CLOSE, "HTTP/1.1 200 OK\r\n\r\n{}")) {
            assertThat(call(target).body().toString()).isEqualTo("{}");
        }
    }

    private BufferedResponse call(RawTarget target) {
        return thread.call(
                () ->
                        new InternalHttpClient(
                                        thread.loop(),
                                        thread.loop()::currentTimeMillis,
                                        target.address())
                                .call(
                                        new OutboundRequest(
                                                HttpMethod.GET,
                                                "/",
                                                DefaultHttpHeadersFactory.headersFactory()
                                                        .newHeaders(),
                                                Body.EMPTY),
                                        TIMEOUT_MILLIS));
    }
}
