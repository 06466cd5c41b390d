package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;
import static org.martenwell.service.Conditions.await;

import io.activej.promise.Promise;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.martenwell.service.EventLoopThread;

class TargetConnectionsTest {

    /** The header that matches responses to requests. */
    private static final String ID = "Id";

    /** A complete response to the first request. */
    private static final String FIRST = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nab";

    /** A complete response to the second request. */
    private static final String SECOND = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\ncd";

    private final EventLoopThread thread = EventLoopThread.start("test-targets");

    /** The ids in all response heads. */
    private final List<String> heads = new CopyOnWriteArrayList<>();

    /** The outcomes of requests. */
    private final BlockingQueue<String> results = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() {
        thread.stop();
    }

    @Test
    void testConnectionIsReused() throws Exception {
        try (RawTarget target = new RawTarget(RawTarget.Ending.KEEP, FIRST, SECOND)) {
            TargetConnections connections = connections(target.address());
            assertThat(thread.call(() -> Promise.of(connections.hasIdle()))).isFalse();
            assertThat(send(connections, "1")).isEqualTo("completed ab");
            assertThat(thread.call(() -> Promise.of(connections.hasIdle()))).isTrue();
            assertThat(send(connections, "2")).isEqualTo("completed cd");
            assertThat(target.connections()).isEqualTo(1);
        }
    }

    @Test
    void testResponseOfAnotherRequestIsDiscarded() throws Exception {
        try (RawTarget target = new RawTarget(RawTarget.Ending.KEEP, FIRST + SECOND, SECOND)) {
            TargetConnections connections = connections(target.address());
            assertThat(send(connections, "2")).isEqualTo("completed cd");
        }
    }

    @Test
    void testBytesAfterAResponseCloseTheConnection() throws Exception {
        try (RawTarget target = new RawTarget(RawTarget.Ending.KEEP, FIRST + FIRST, SECOND)) {
            TargetConnections connections = connections(target.address());
            assertThat(send(connections, "1")).isEqualTo("completed ab");
            assertThat(send(connections, "2")).isEqualTo("completed cd");
            assertThat(target.connections()).isEqualTo(2);
        }
    }

    /** The response without an id could be a further one to an earlier request. */
    @Test
    void testResponseWithoutIdIsAcceptedOnANewConnectionAlone() throws Exception {
        String unidentified = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nxy";
        try (RawTarget target = new RawTarget(RawTarget.Ending.KEEP, unidentified)) {
            TargetConnections connections = connections(target.address());
            assertThat(send(connections, "1")).isEqualTo("completed xy");
            assertThat(send(connections, "2")).isEqualTo("completed xy");
            assertThat(target.connections()).isEqualTo(2);
        }
        try (RawTarget target =
                new RawTarget(RawTarget.Ending.KEEP, FIRST, unidentified + SECOND)) {
            TargetConnections connections = connections(target.address());
            assertThat(send(connections, "1")).isEqualTo("completed ab");
            assertThat(send(connections, "2")).isEqualTo("completed cd");
            assertThat(target.connections()).isEqualTo(1);
        }
    }

    @Test
    void testResponseWithoutLengthEndsWithItsConnection() throws Exception {
        String response = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nab";
        try (RawTarget target = new RawTarget(RawTarget.Ending.CLOSE, response)) {
            assertThat(send(connections(target.address()), "1"))
                    .isEqualTo("completed ab by CLOSE_DELIMITED");
        }
    }

    @Test
    void testResponseWithoutLengthFailsOnReset() throws Exception {
        String response = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nab";
        try (RawTarget target = new RawTarget(RawTarget.Ending.RESET, response)) {
            TargetConnections connections = connections(target.address());
            assertThat(send(connections, "1", "x")).isEqualTo("failed BROKEN_OFF");
        }
    }

    @Test
    void testResponseShorterThanItsLengthFails() throws Exception {
        String response = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nab";
        try (RawTarget target = new RawTarget(RawTarget.Ending.CLOSE, response)) {
            assertThat(send(connections(target.address()), "1")).isEqualTo("failed BROKEN_OFF");
        }
    }

    @Test
    void testChunkedResponseWithoutLastChunkFails() throws Exception {
        String response =
                "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n";
        try (RawTarget target = new RawTarget(RawTarget.Ending.CLOSE, response)) {
            assertThat(send(connections(target.address()), "1")).isEqualTo("failed BROKEN_OFF");
        }
    }

    @Test
    void testMissingAndMalformedResponsesFail() throws Exception {
        try (RawTarget target = new RawTarget(RawTarget.Ending.CLOSE, "", "nonsense\r\n\r\n")) {
            TargetConnections connections = connections(target.address());
            assertThat(send(connections, "1")).isEqualTo("failed NO_ANSWER");
            assertThat(send(connections, "1")).startsWith("failed ");
        }
    }

    @Test
    void testClosedPortIsRefused() throws Exception {
        RawTarget target = new RawTarget(RawTarget.Ending.CLOSE, "");
        InetSocketAddress address = target.address();
        target.close();
        assertThat(send(connections(address), "1")).isEqualTo("failed REFUSED");
    }

    /**
     * A target may have asked for a pause on another connection while this one was being opened.
     */
    @Test
    void testNothingIsSentOnAConnectionCancelledOnOpening() throws Exception {
        try (RawTarget target = new RawTarget(RawTarget.Ending.KEEP, FIRST)) {
            TargetConnections connections = connections(target.address());
            cancelOnOpening(connections);
            await(() -> target.connections() == 1);
            assertThat(send(connections, "1")).isEqualTo("completed ab");
            cancelOnOpening(connections);
            assertThat(send(connections, "1")).isEqualTo("completed ab");
            assertThat(target.heads()).isEqualTo(2);
        }
    }

    /** Response heads carry the target's availability, also when no request awaits the response. */
    @Test
    void testHeadsOfAllResponsesAreReported() throws Exception {
        try (RawTarget target = new RawTarget(RawTarget.Ending.KEEP, FIRST + SECOND, SECOND)) {
            assertThat(send(connections(target.address()), "2")).isEqualTo("completed cd");
            assertThat(heads).containsExactly("1", "2");
        }
        try (RawTarget target = new RawTarget(RawTarget.Ending.KEEP, SECOND + FIRST)) {
            assertThat(send(connections(target.address()), "2")).isEqualTo("completed cd");
            await(() -> heads.size() == 4);
            assertThat(heads).endsWith("2", "1");
        }
    }

    private TargetConnections connections(InetSocketAddress address) {
        return new TargetConnections(
                thread.loop(),
                address,
                5_000,
                KeepAlive.NONE,
                head -> heads.add(head.headers().get(ID)));
    }

    /** Sends a request whose connection is cancelled as soon as it is open. */
    private void cancelOnOpening(TargetConnections connections) {
        thread.call(
                () -> {
                    connections.send(
                            request(""),
                            new Recorder(connections, new TargetConnection[1], "none"),
                            TargetConnection::cancel);
                    return Promise.complete();
                });
    }

    private static OutboundRequest request(String body) {
        return new OutboundRequest(
                HttpMethod.GET,
                "/",
                DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                Body.of(body.getBytes(StandardCharsets.UTF_8)));
    }

    private String send(TargetConnections connections, String id) throws InterruptedException {
        return send(connections, id, "");
    }

    /** Sends a request and awaits its outcome. */
    private String send(TargetConnections connections, String id, String body)
            throws InterruptedException {
        thread.call(
                () -> {
                    TargetConnection[] used = new TargetConnection[1];
                    connections.send(
                            request(body),
                            new Recorder(connections, used, id),
                            connection -> used[0] = connection);
                    return Promise.complete();
                });
        return results.poll(10, TimeUnit.SECONDS);
    }

    /** Records a response and returns its connection to the pool. */
    private final class Recorder implements ResponseListener {

        private final TargetConnections connections;

        private final TargetConnection[] used;

        private final String id;

        private final StringBuilder body = new StringBuilder();

        private Recorder(TargetConnections connections, TargetConnection[] used, String id) {
            this.connections = connections;
            this.used = used;
            this.id = id;
        }

        @Override
        public Optional<String> requestId() {
            return Optional.of(id);
        }

        @Override
        public boolean accepts(ConnectionHistory history) {
            return !history.contains(id);
        }

        @Override
        public ResponseMatch match(HttpResponse head) {
            return ResponseMatch.of(requestId(), Optional.ofNullable(head.headers().get(ID)));
        }

        @Override
        public void headReceived(HttpResponse head) {}

        @Override
        public void bodyPartReceived(byte[] piece) {
            body.append(new String(piece, StandardCharsets.UTF_8));
        }

        @Override
        public void completed(ResponseFraming framing) {
            connections.release(used[0], 0);
            // Postponed so that stray bytes after the response in the same read are processed
            // first.
            String end = framing.showsTruncation() ? "" : " by " + framing;
            thread.loop().postLast(() -> results.add("completed " + body + end));
        }

        @Override
        public void failed(ResponseFailure failure) {
            results.add("failed " + failure);
        }
    }
}
