package org.martenwell.exchange;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/** Makes calls of this program's own to one address. Each call ends within its time. */
public final class HttpCaller {

    /**
     * How long opening a connection may take, in milliseconds. A lost packet is sent again after 1
     * s, so a new attempt is faster than waiting for longer than a few round trips.
     */
    private static final long CONNECT_MILLIS = 400;

    /** The loop. */
    private final NioReactor reactor;

    /** The connections. */
    private final TargetConnections connections;

    /**
     * Creates a caller.
     *
     * @param reactor The loop.
     * @param address The address.
     */
    public HttpCaller(NioReactor reactor, InetSocketAddress address) {
        this(reactor, address, AnswerHeadListener.NONE);
    }

    /**
     * Creates a caller.
     *
     * @param reactor The loop.
     * @param address The address.
     * @param headListener Is told of each answer's head.
     */
    public HttpCaller(
            NioReactor reactor, InetSocketAddress address, AnswerHeadListener headListener) {
        this.reactor = reactor;
        this.connections =
                new TargetConnections(
                        reactor, address, CONNECT_MILLIS, KeepAlive.PROBED, headListener);
    }

    /**
     * Makes a call.
     *
     * @param request The request.
     * @param timeoutMillis How long the call may take, in milliseconds.
     * @return The answer, or a failure of the kind {@link ErrorKind#PLATFORM_UNAVAILABLE}, after
     *     which the call may have been done or not.
     */
    public Promise<HttpReply> call(TargetRequestHead request, long timeoutMillis) {
        PendingCall call = begin(timeoutMillis, true);
        connections.send(request, call, call::opened);
        return call.result;
    }

    /**
     * Makes a call whose answer may take long. It goes over a connection of its own: a resting one
     * that went silent would hold it for its whole time, since the system probes no connection on
     * which bytes wait to be acknowledged.
     *
     * @param request The request.
     * @param timeoutMillis How long the call may take, in milliseconds.
     * @return The answer, or a failure as of {@link #call}.
     */
    public Promise<HttpReply> callOnNew(TargetRequestHead request, long timeoutMillis) {
        PendingCall call = begin(timeoutMillis, false);
        connections.sendOnNew(request, call, call::opened);
        return call.result;
    }

    /**
     * Begins a call.
     *
     * @param timeoutMillis How long it may take, in milliseconds.
     * @param kept Whether its connection is kept for another call.
     * @return The call.
     */
    private PendingCall begin(long timeoutMillis, boolean kept) {
        PendingCall call = new PendingCall(kept);
        call.timer = reactor.delayBackground(timeoutMillis, call::expired);
        return call;
    }

    /** Closes idle connections. */
    public void close() {
        connections.close();
    }

    /** A call whose answer is due. */
    private final class PendingCall implements AnswerListener {

        /** Whether the connection is kept for another call; else it ends with this one. */
        private final boolean kept;

        /** The answer. */
        private final SettablePromise<HttpReply> result = new SettablePromise<>();

        /** The body. */
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();

        /** Ends the call. */
        private ScheduledRunnable timer;

        /** The connection or {@code null} while it opens. */
        private TargetConnection connection;

        /** The status. */
        private int status;

        /**
         * Creates a call.
         *
         * @param kept Whether its connection is kept for another call.
         */
        private PendingCall(boolean kept) {
            this.kept = kept;
        }

        @Override
        public boolean belongs(HttpResponse head) {
            return true;
        }

        @Override
        public void begun(HttpResponse head) {
            status = head.status().code();
        }

        @Override
        public void received(byte[] piece) {
            body.writeBytes(piece);
        }

        @Override
        public void ended() {
            timer.cancel();
            if (kept) {
                connections.keep(connection, 0);
            } else {
                connection.cancel();
            }
            if (!result.isComplete()) {
                result.set(new HttpReply(status, Body.of(body.toByteArray())));
            }
        }

        @Override
        public void failed(AnswerFailure failure) {
            timer.cancel();
            connections.closeIdle();
            fail("The call failed: " + failure);
        }

        /**
         * Takes the connection.
         *
         * @param opened The connection.
         */
        private void opened(TargetConnection opened) {
            connection = opened;
            if (result.isComplete()) {
                opened.cancel();
            }
        }

        /** Ends the call because it took too long. */
        private void expired() {
            if (connection != null) {
                connection.cancel();
            }
            // What made this connection silent may have struck the resting ones too, and each
            // would cost the time of one more call.
            connections.closeIdle();
            fail("The call took too long.");
        }

        /**
         * Fails the call.
         *
         * @param message Why.
         */
        private void fail(String message) {
            if (!result.isComplete()) {
                result.setException(
                        MartenwellException.of(ErrorKind.PLATFORM_UNAVAILABLE, message));
            }
        }
    }
}
