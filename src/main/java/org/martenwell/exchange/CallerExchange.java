package org.martenwell.exchange;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * One request of a caller and its response. A response is sent complete by {@link #respond}, or in
 * chunks by {@link #begin}, {@link #write} and {@link #end}. Calls after the exchange has finished
 * have no effect.
 */
public final class CallerExchange {

    private final CallerConnection connection;

    private final CallerRequest request;

    private final boolean keepAlive;

    private Runnable disconnectListener = () -> {};

    /** Set once the response head is sent. */
    private boolean headSent;

    /** Set once the exchange is responded to, aborted or abandoned by the caller. */
    private boolean finished;

    /**
     * Creates an exchange.
     *
     * @param connection The connection on which the request arrived.
     * @param request The complete request.
     * @param keepAlive {@code true} if the caller allows a persistent connection.
     */
    CallerExchange(CallerConnection connection, CallerRequest request, boolean keepAlive) {
        this.connection = connection;
        this.request = request;
        this.keepAlive = keepAlive;
    }

    /** {@return the request} */
    public CallerRequest request() {
        return request;
    }

    /** {@return {@code true} once the response head is sent} */
    public boolean headSent() {
        return headSent;
    }

    /**
     * {@return {@code true} once the response is complete, the exchange aborted or the caller
     * disconnected}
     */
    public boolean finished() {
        return finished;
    }

    /**
     * {@return the number of response bytes that are not yet written to the socket, as when the
     * caller reads slowly}
     */
    public int unwrittenBytes() {
        return connection.unwrittenBytes();
    }

    /**
     * Sets the action for a caller that disconnects before the response is complete.
     *
     * @param listener Called at most once, on the event loop.
     */
    public void onDisconnect(Runnable listener) {
        disconnectListener = listener;
    }

    /**
     * Sends a complete response.
     *
     * @param status The status code.
     * @param headers The headers, without those that frame the body.
     * @param body The body.
     */
    public void respond(int status, HttpHeaders headers, byte[] body) {
        if (finished) {
            return;
        }
        finished = true;
        headSent = true;
        connection.respond(status, headers, body, keepAlive);
    }

    /**
     * Sends the head of a response of unknown length.
     *
     * @param status The status code.
     * @param headers The headers, without those that frame the body.
     */
    public void begin(int status, HttpHeaders headers) {
        if (finished) {
            return;
        }
        headSent = true;
        connection.begin(status, headers, keepAlive);
    }

    /**
     * Sends a piece of the response body after {@link #begin}. An empty piece is ignored.
     *
     * @param piece The bytes, which are copied.
     */
    public void write(byte[] piece) {
        if (!finished && piece.length > 0) {
            connection.write(piece);
        }
    }

    /** Completes a response after {@link #begin}. */
    public void end() {
        if (!finished) {
            finished = true;
            connection.end(keepAlive);
        }
    }

    /**
     * Closes the connection without the last chunk, so that the caller sees an incomplete response.
     */
    public void abort() {
        if (!finished) {
            finished = true;
            connection.abort();
        }
    }

    /** Called by the connection when the caller disconnects before the response is complete. */
    void callerDisconnected() {
        if (!finished) {
            finished = true;
            disconnectListener.run();
        }
    }
}
