package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.net.SocketSettings;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.TcpConnector;

/**
 * Guards against requests that wait until their deadline, since an error was thrown while the bytes
 * of their target were processed.
 */
final class TargetConnectionDefectTest {

    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";

    private static final String FAILED = "failed DEFECT";

    /** The place at which an error is thrown. */
    private enum Place {
        OPENED,
        OBSERVED,
        MATCH,
        HEAD,
        BODY,
        COMPLETED,
        NONE
    }

    private final EventLoopThread thread = EventLoopThread.start("target-defects");

    private final BlockingQueue<String> results = new LinkedBlockingQueue<>();

    /** The place at which the next error is thrown. */
    private volatile Place place = Place.NONE;

    @AfterEach
    void stop() {
        thread.stop();
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void testErrorFailsTheRequestAndClosesTheConnection(Place failing) throws Exception {
        try (RawTarget target = new RawTarget(RawTarget.Ending.KEEP, RESPONSE)) {
            TargetConnections connections =
                    new TargetConnections(
                            thread.loop(),
                            target.address(),
                            5_000,
                            KeepAlive.NONE,
                            head -> failAt(Place.OBSERVED));
            place = failing;
            assertThat(send(connections)).isEqualTo(FAILED);
            assertThat(send(connections)).isEqualTo("completed");
            assertThat(target.connections()).isEqualTo(2);
        }
    }

    @Test
    void testErrorWithinAReadFailsTheRequestAndClosesTheConnection() throws Exception {
        try (RawTarget target = new RawTarget(RawTarget.Ending.KEEP, RESPONSE)) {
            TcpSocket socket =
                    thread.call(
                            () ->
                                    TcpConnector.connect(
                                            thread.loop(),
                                            target.address(),
                                            5_000,
                                            SocketSettings.create()));
            thread.call(
                    () -> {
                        socket.setInspector(new FailingReads());
                        new TargetConnection(
                                        thread.loop(),
                                        socket,
                                        ResponseHeadListener.NONE,
                                        () -> results.add("closed"))
                                .send(request(), new FailingListener(connection -> {}));
                        return Promise.complete();
                    });
            assertThat(next()).isEqualTo("closed");
            assertThat(next()).isEqualTo(FAILED);
        }
    }

    private String send(TargetConnections connections) throws InterruptedException {
        thread.call(
                () -> {
                    TargetConnection[] used = new TargetConnection[1];
                    connections.send(
                            request(),
                            new FailingListener(ignored -> connections.release(used[0], 0)),
                            opened -> {
                                used[0] = opened;
                                failAt(Place.OPENED);
                            });
                    return Promise.complete();
                });
        return next();
    }

    private String next() throws InterruptedException {
        return results.poll(5, TimeUnit.SECONDS);
    }

    private void failAt(Place reached) {
        if (place == reached) {
            place = Place.NONE;
            throw new OutOfMemoryError("deliberate, at " + reached);
        }
    }

    private static OutboundRequest request() {
        return new OutboundRequest(
                HttpMethod.GET,
                "/",
                DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                Body.EMPTY);
    }

    /** Fails at the given place, and records the outcome of a request. */
    private final class FailingListener implements ResponseListener {

        private final Consumer<ResponseFraming> release;

        private FailingListener(Consumer<ResponseFraming> release) {
            this.release = release;
        }

        @Override
        public ResponseMatch match(HttpResponse head) {
            failAt(Place.MATCH);
            return ResponseMatch.SAME;
        }

        @Override
        public void headReceived(HttpResponse head) {
            failAt(Place.HEAD);
        }

        @Override
        public void bodyPartReceived(byte[] piece) {
            failAt(Place.BODY);
        }

        @Override
        public void completed(ResponseFraming framing) {
            failAt(Place.COMPLETED);
            release.accept(framing);
            results.add("completed");
        }

        @Override
        public void failed(ResponseFailure failure) {
            results.add("failed " + failure);
        }
    }
}
