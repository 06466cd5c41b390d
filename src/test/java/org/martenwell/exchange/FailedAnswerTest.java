package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.Promise;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.Iterator;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;

/** Guards against callers without a status line, since their answer could not be written. */
final class FailedAnswerTest {

    private static final long LATER_MILLIS = 50;

    private final EventLoopThread thread = EventLoopThread.start("failed-answers");

    private final InetSocketAddress address = IpAddress.of(LoopbackPorts.free(1).get(0));

    private CallerServer server;

    @BeforeEach
    void start() {
        server = new CallerServer(thread.loop(), address, this::handleLater);
        thread.call(server::start);
    }

    @AfterEach
    void stop() {
        thread.call(server::stop);
        thread.stop();
    }

    @Test
    @Timeout(10)
    void testWholeAnswerThatFailsIsReplaced() throws Exception {
        assertThat(answerTo("/whole")).startsWith("HTTP/1.1 500");
    }

    /** The head isn't sent, so what follows must not be a cut. */
    @Test
    @Timeout(10)
    void testHeadThatFailsIsReplacedBeforeAnAbort() throws Exception {
        assertThat(answerTo("/head")).startsWith("HTTP/1.1 500");
    }

    private String answerTo(String path) throws Exception {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET " + path + " HTTP/1.1|Host: x||");
            String answer = client.readAll();
            int connections = thread.call(() -> Promise.of(server.connections()));
            assertThat(connections).isLessThanOrEqualTo(1);
            return answer;
        }
    }

    /** Responds within a timer, as for a request that waited. */
    private void handleLater(CallerExchange exchange) {
        thread.loop().delayBackground(LATER_MILLIS, () -> respond(exchange));
    }

    private void respond(CallerExchange exchange) {
        if (exchange.request().path().equals("/whole")) {
            exchange.respond(200, new UnwritableHeaders(), new byte[0]);
            return;
        }
        thread.loop().delayBackground(LATER_MILLIS, exchange::abort);
        exchange.begin(200, new UnwritableHeaders());
    }

    /** Headers that can't be encoded, as for lack of heap. */
    private static final class UnwritableHeaders extends DefaultHttpHeaders {

        @Override
        public Iterator<Map.Entry<CharSequence, CharSequence>> iteratorCharSequence() {
            throw new OutOfMemoryError("deliberate");
        }

        @Override
        public HttpHeaders copy() {
            return this;
        }
    }
}
