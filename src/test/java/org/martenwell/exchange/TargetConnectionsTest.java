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
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.martenwell.service.LoopThread;

class TargetConnectionsTest {

    /** The header by which answers are matched. */
    private static final String ID = "Id";

    /** A whole answer to the first request. */
    private static final String FIRST = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nab";

    /** A whole answer to the second request. */
    private static final String SECOND = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\ncd";

    private final LoopThread thread = LoopThread.start("test-targets");

    /** The ids in the heads of all answers. */
    private final List<String> heads = new CopyOnWriteArrayList<>();

    /** What was told of answers. */
    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() {
        thread.stop();
    }

    @Test
    void testConnectionIsUsedAgain() throws Exception {
        try (RawTarget target = new RawTarget(RawTarget.Ending.KEEP, FIRST, SECOND)) {
            TargetConnections connections = connections(target.address());
            assertThat(send(connections, "1")).isEqualTo("ended ab");
            assertThat(send(connections, "2")).isEqualTo("ended cd");
            assertThat(target.connections()).isEqualTo(1);
        }
    }

    @Test
    void testAnswerOfAnotherRequestIsDropped() throws Exception {
        try (RawTarget target = new RawTarget(RawTarget.Ending.KEEP, FIRST + SECOND, SECOND)) {
            TargetConnections connections = connections(target.address());
            assertThat(send(connections, "2")).isEqualTo("ended cd");
        }
    }

    @Test
    void testBytesBehindAnAnswerEndTheConnection() throws Exception {
        try (RawTarget target = new RawTarget(RawTarget.Ending.KEEP, FIRST + FIRST, SECOND)) {
            TargetConnections connections = connections(target.address());
            assertThat(send(connections, "1")).isEqualTo("ended ab");
            assertThat(send(connections, "2")).isEqualTo("ended cd");
            assertThat(target.connections()).isEqualTo(2);
        }
    }

    @Test
    void testAnswerWithoutLengthIsWholeIfItsConnectionIsClosed() throws Exception {
        String answer = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nab";
        try (RawTarget target = new RawTarget(RawTarget.Ending.CLOSE, answer)) {
            assertThat(send(connections(target.address()), "1")).isEqualTo("ended ab");
        }
    }

    @Test
    void testAnswerWithoutLengthIsNotWholeIfItsConnectionIsReset() throws Exception {
        String answer = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nab";
        try (RawTarget target = new RawTarget(RawTarget.Ending.RESET, answer)) {
            TargetConnections connections = connections(target.address());
            assertThat(send(connections, "1", "x")).isEqualTo("failed BROKEN_OFF");
        }
    }

    @Test
    void testShortAnswerIsNotWhole() throws Exception {
        String answer = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nab";
        try (RawTarget target = new RawTarget(RawTarget.Ending.CLOSE, answer)) {
            assertThat(send(connections(target.address()), "1")).isEqualTo("failed BROKEN_OFF");
        }
    }

    @Test
    void testChunkedAnswerWithoutEndIsNotWhole() throws Exception {
        String answer = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n";
        try (RawTarget target = new RawTarget(RawTarget.Ending.CLOSE, answer)) {
            assertThat(send(connections(target.address()), "1")).isEqualTo("failed BROKEN_OFF");
        }
    }

    @Test
    void testNoAnswerAndNoHttpAreFailures() throws Exception {
        try (RawTarget target = new RawTarget(RawTarget.Ending.CLOSE, "", "nonsense\r\n\r\n")) {
            TargetConnections connections = connections(target.address());
            assertThat(send(connections, "1")).isEqualTo("failed NO_ANSWER");
            assertThat(send(connections, "1")).startsWith("failed ");
        }
    }

    @Test
    void testClosedPortIsNotConnected() throws Exception {
        RawTarget target = new RawTarget(RawTarget.Ending.CLOSE, "");
        InetSocketAddress address = target.address();
        target.close();
        assertThat(send(connections(address), "1")).isEqualTo("failed REFUSED");
    }

    /** A target may have said meanwhile that it wants nothing, on another connection. */
    @Test
    void testNothingIsSentOverAConnectionThatIsCancelledWhenItIsOpen() throws Exception {
        try (RawTarget target = new RawTarget(RawTarget.Ending.KEEP, FIRST)) {
            TargetConnections connections = connections(target.address());
            cancelWhenOpen(connections);
            await(() -> target.connections() == 1);
            assertThat(send(connections, "1")).isEqualTo("ended ab");
            cancelWhenOpen(connections);
            assertThat(send(connections, "1")).isEqualTo("ended ab");
            assertThat(target.heads()).isEqualTo(2);
        }
    }

    /** What an answer says of its target holds also if nobody waits for the answer itself. */
    @Test
    void testHeadsOfAllAnswersAreTold() throws Exception {
        try (RawTarget target = new RawTarget(RawTarget.Ending.KEEP, FIRST + SECOND, SECOND)) {
            assertThat(send(connections(target.address()), "2")).isEqualTo("ended cd");
            assertThat(heads).containsExactly("1", "2");
        }
        try (RawTarget target = new RawTarget(RawTarget.Ending.KEEP, SECOND + FIRST)) {
            assertThat(send(connections(target.address()), "2")).isEqualTo("ended cd");
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

    /** Sends a request and cancels its connection as soon as it is open. */
    private void cancelWhenOpen(TargetConnections connections) {
        thread.call(
                () -> {
                    connections.send(
                            request(""),
                            new Recorder(connections, new TargetConnection[1], "none"),
                            TargetConnection::cancel);
                    return Promise.complete();
                });
    }

    private static TargetRequestHead request(String body) {
        return new TargetRequestHead(
                HttpMethod.GET,
                "/",
                DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                Body.of(body.getBytes(StandardCharsets.UTF_8)));
    }

    private String send(TargetConnections connections, String id) throws InterruptedException {
        return send(connections, id, "");
    }

    /** Sends a request and waits for what becomes of it. */
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
        return told.poll(10, TimeUnit.SECONDS);
    }

    /** Records an answer and keeps its connection. */
    private final class Recorder implements AnswerListener {

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
        public boolean belongs(HttpResponse head) {
            return id.equals(head.headers().get(ID));
        }

        @Override
        public void begun(HttpResponse head) {}

        @Override
        public void received(byte[] piece) {
            body.append(new String(piece, StandardCharsets.UTF_8));
        }

        @Override
        public void ended() {
            connections.keep(used[0], 0);
            // Told behind the present batch of bytes, so that stray ones behind the answer count.
            thread.loop().postLast(() -> told.add("ended " + body));
        }

        @Override
        public void failed(AnswerFailure failure) {
            told.add("failed " + failure);
        }
    }
}
