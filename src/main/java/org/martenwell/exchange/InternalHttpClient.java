package org.martenwell.exchange;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.function.LongSupplier;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.service.ResponseTimeout;

/**
 * An HTTP client for this program's own requests to one address. Each call completes or fails
 * within its timeout.
 */
public final class InternalHttpClient {

    /**
     * The timeout of connecting, in milliseconds. It is below the initial TCP retransmission
     * timeout of 1 s: after a lost packet a new attempt is faster.
     */
    private static final long CONNECT_TIMEOUT_MILLIS = 400;

    /** The most bytes of a response; pages of the directory and of prompt caches are smaller. */
    private static final int MAX_BODY_BYTES = 4 << 20;

    private final NioReactor reactor;

    /** The clock of timeouts. */
    private final LongSupplier clock;

    private final TargetConnections connections;

    /**
     * Creates a client.
     *
     * @param reactor The event loop.
     * @param clock Returns the time, in milliseconds; by it timeouts are measured.
     * @param address The server's address.
     */
    public InternalHttpClient(NioReactor reactor, LongSupplier clock, InetSocketAddress address) {
        this(reactor, clock, address, ResponseHeadListener.NONE);
    }

    /**
     * Creates a client whose response heads are observed.
     *
     * @param reactor The event loop.
     * @param clock Returns the time, in milliseconds; by it timeouts are measured.
     * @param address The server's address.
     * @param headListener Receives the head of each response.
     */
    public InternalHttpClient(
            NioReactor reactor,
            LongSupplier clock,
            InetSocketAddress address,
            ResponseHeadListener headListener) {
        this.reactor = reactor;
        this.clock = clock;
        this.connections =
                new TargetConnections(
                        reactor, address, CONNECT_TIMEOUT_MILLIS, KeepAlive.PROBED, headListener);
    }

    /**
     * Sends a request, over an idle connection if there is one.
     *
     * @param request The request.
     * @param timeoutMillis The timeout of the whole call, in milliseconds.
     * @return The response of any status, or an exception of kind {@link
     *     ErrorKind#PLATFORM_UNAVAILABLE}, after which the request may or may not have been
     *     processed.
     */
    public Promise<BufferedResponse> call(OutboundRequest request, long timeoutMillis) {
        PendingCall call = begin(timeoutMillis, true);
        connections.send(request, call, call::opened);
        return call.result;
    }

    /**
     * Sends a request over a new connection, for calls with a long timeout. An idle connection may
     * be dead without a reset, and TCP sends no keep-alive probes while data awaits
     * acknowledgement, so such a call would wait for its whole timeout.
     *
     * @param request The request.
     * @param timeoutMillis The timeout of the whole call, in milliseconds.
     * @return The response, or an exception as with {@link #call}.
     */
    public Promise<BufferedResponse> callOnNewConnection(
            OutboundRequest request, long timeoutMillis) {
        PendingCall call = begin(timeoutMillis, false);
        connections.sendOnNewConnection(request, call, call::opened);
        return call.result;
    }

    /**
     * Creates a call and starts its timeout.
     *
     * @param timeoutMillis The timeout, in milliseconds.
     * @param reuseConnection {@code true} to keep the connection for another call.
     * @return The call.
     */
    private PendingCall begin(long timeoutMillis, boolean reuseConnection) {
        PendingCall call = new PendingCall(reuseConnection);
        call.timeout = ResponseTimeout.start(reactor, clock, timeoutMillis, call::timedOut);
        return call;
    }

    /**
     * Closes idle connections, as after a response that was not that to its call. Further calls
     * open new ones.
     */
    public void closeIdle() {
        connections.closeIdle();
    }

    /** Closes idle connections; those in use close when their calls complete. */
    public void close() {
        connections.close();
    }

    /** A call whose response is pending. */
    private final class PendingCall implements ResponseListener {

        /** {@code false} if the connection closes after this call. */
        private final boolean reuseConnection;

        private final SettablePromise<BufferedResponse> result = new SettablePromise<>();

        private final ByteArrayOutputStream body = new ByteArrayOutputStream();

        private ResponseTimeout timeout;

        /** The connection, or {@code null} while it is being opened. */
        private TargetConnection connection;

        private int status;

        private PendingCall(boolean reuseConnection) {
            this.reuseConnection = reuseConnection;
        }

        @Override
        public ResponseMatch match(HttpResponse head) {
            return ResponseMatch.SAME;
        }

        @Override
        public void headReceived(HttpResponse head) {
            status = head.status().code();
        }

        @Override
        public void bodyPartReceived(byte[] piece) {
            if (body.size() + piece.length > MAX_BODY_BYTES) {
                connection.cancel();
                failed(ResponseFailure.TOO_LARGE);
                return;
            }
            body.writeBytes(piece);
        }

        @Override
        public void completed(ResponseFraming framing) {
            if (!framing.showsTruncation() && body.size() == 0) {
                // A truncated JSON document can't be read, but an empty one looks like an empty
                // list.
                failed(ResponseFailure.BROKEN_OFF);
                return;
            }
            timeout.cancel();
            if (reuseConnection) {
                connections.release(connection, 0);
            } else {
                connection.cancel();
            }
            if (!result.isComplete()) {
                result.set(new BufferedResponse(status, Body.of(body.toByteArray())));
            }
        }

        @Override
        public void failed(ResponseFailure failure) {
            timeout.cancel();
            try {
                connections.closeIdle();
            } finally {
                fail("The internal HTTP call failed: " + failure);
            }
        }

        /**
         * Stores the opened connection, or cancels it if the call has already failed.
         *
         * @param opened The connection.
         */
        private void opened(TargetConnection opened) {
            connection = opened;
            if (result.isComplete()) {
                opened.cancel();
            }
        }

        /** Fails the call at its timeout. */
        private void timedOut() {
            if (connection != null) {
                connection.cancel();
            }
            // Idle connections may be dead for the same reason, and each would cost a call its
            // timeout.
            connections.closeIdle();
            fail(
                    "The internal HTTP call took too long, by a timer "
                            + timeout.lateMillis()
                            + " ms late.");
        }

        private void fail(String message) {
            if (!result.isComplete()) {
                result.setException(
                        MartenwellException.of(ErrorKind.PLATFORM_UNAVAILABLE, message));
            }
        }
    }
}
