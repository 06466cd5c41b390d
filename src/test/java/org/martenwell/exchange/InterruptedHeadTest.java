package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.SettablePromise;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.martenwell.service.EventLoopThread;

/**
 * Guards against a target that ends its connection within the head of its response, wherever that
 * is: the response must not begin, let alone complete.
 */
class InterruptedHeadTest {

    private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";

    private final EventLoopThread thread = EventLoopThread.start("interrupted-head");

    @AfterEach
    void stop() {
        thread.stop();
    }

    @ParameterizedTest
    @CsvSource({
        "GET,200,Content-Length: 14",
        "GET,200,Transfer-Encoding: chunked",
        "POST,200,Connection: close",
        "GET,204,Server: x",
        "GET,304,Content-Length: 14",
        "HEAD,200,Content-Length: 14",
        "HEAD,200,Connection: close"
    })
    void testNoByteOfTheHeadMayBeMissing(String method, int status, String field)
            throws IOException {
        String head = "HTTP/1.1 %d OK\r\n%s\r\n\r\n".formatted(status, field);
        List<String> begun = new ArrayList<>();
        for (int length = 0; length < head.length(); length++) {
            for (String before : List.of("", INTERIM)) {
                String sent = before + head.substring(0, length);
                if (!outcome(method, sent).equals("failed NO_ANSWER")) {
                    begun.add(sent);
                }
            }
        }
        assertThat(begun).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"Digest: x", "Digest: x\\r\\n"})
    void testTrailersThatEndEarlyCompleteNoResponse(String trailers) throws IOException {
        String sent =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
                        + trailers.translateEscapes();
        assertThat(outcome("GET", sent)).isEqualTo("begun, failed BROKEN_OFF");
    }

    /** Returns what becomes of a request whose target sends bytes and closes the connection. */
    private String outcome(String method, String sent) throws IOException {
        try (RawTarget target = new RawTarget(RawTarget.Ending.CLOSE, sent)) {
            return thread.call(
                    () -> {
                        RecordingListener listener = new RecordingListener();
                        new TargetConnections(
                                        thread.loop(),
                                        target.address(),
                                        5_000,
                                        KeepAlive.PROBED,
                                        ResponseHeadListener.NONE)
                                .send(
                                        new OutboundRequest(
                                                HttpMethod.valueOf(method),
                                                "/",
                                                DefaultHttpHeadersFactory.headersFactory()
                                                        .newHeaders(),
                                                Body.EMPTY),
                                        listener,
                                        opened -> {});
                        return listener.outcome;
                    });
        }
    }

    /** Records what is received of one response. */
    private static final class RecordingListener implements ResponseListener {

        private final SettablePromise<String> outcome = new SettablePromise<>();

        private String begun = "";

        @Override
        public ResponseMatch match(HttpResponse head) {
            return ResponseMatch.SAME;
        }

        @Override
        public void headReceived(HttpResponse head) {
            begun = "begun, ";
        }

        @Override
        public void bodyPartReceived(byte[] piece) {
            // Only the end of the response matters.
        }

        @Override
        public void completed(ResponseFraming framing) {
            outcome.set(begun + "completed");
        }

        @Override
        public void failed(ResponseFailure failure) {
            outcome.set(begun + "failed " + failure);
        }
    }
}
