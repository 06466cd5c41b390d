package org.martenwell.exchange;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * One request of a caller and its answer. An answer is given whole by {@link #respond} or in pieces
 * by {@link #begin}, {@link #write} and {@link #end}. Calls after the caller left do nothing.
 */
public final class CallerExchange {

    /** The connection. */
    private final CallerConnection connection;

    /** The request. */
    private final CallerRequest request;

    /** Whether the caller wants to go on using the connection. */
    private final boolean keepAlive;

    /** What to do once the caller left. */
    private Runnable leaveListener = () -> {};

    /** Whether the answer's head was sent. */
    private boolean begun;

    /** Whether the exchange is over. */
    private boolean finished;

    /**
     * Creates an exchange.
     *
     * @param connection The connection.
     * @param request The request.
     * @param keepAlive Whether the caller wants to go on using the connection.
     */
    CallerExchange(CallerConnection connection, CallerRequest request, boolean keepAlive) {
        this.connection = connection;
        this.request = request;
        this.keepAlive = keepAlive;
    }

    /**
     * Returns the request.
     *
     * @return The request.
     */
    public CallerRequest request() {
        return request;
    }

    /**
     * Returns whether an answer's head was sent.
     *
     * @return {@code true} once it was sent.
     */
    public boolean begun() {
        return begun;
    }

    /**
     * Returns whether the exchange is over.
     *
     * @return {@code true} once it is answered, aborted or left.
     */
    public boolean finished() {
        return finished;
    }

    /**
     * Returns how many bytes of the answer wait for the caller to read.
     *
     * @return The number of bytes.
     */
    public int unreadBytes() {
        return connection.unwrittenBytes();
    }

    /**
     * Sets what to do once the caller left before the answer's end.
     *
     * @param listener Called at most once.
     */
    public void onLeave(Runnable listener) {
        leaveListener = listener;
    }

    /**
     * Answers whole.
     *
     * @param status The status.
     * @param headers The headers, without those that frame the body.
     * @param body The body.
     */
    public void respond(int status, HttpHeaders headers, byte[] body) {
        if (finished) {
            return;
        }
        finished = true;
        begun = true;
        connection.respond(status, headers, body, keepAlive);
    }

    /**
     * Begins an answer whose length is not known.
     *
     * @param status The status.
     * @param headers The headers, without those that frame the body.
     */
    public void begin(int status, HttpHeaders headers) {
        if (finished) {
            return;
        }
        begun = true;
        connection.begin(status, headers, keepAlive);
    }

    /**
     * Sends a piece of an answer that was begun.
     *
     * @param piece The piece.
     */
    public void write(byte[] piece) {
        if (!finished && piece.length > 0) {
            connection.write(piece);
        }
    }

    /** Ends an answer that was begun. */
    public void end() {
        if (!finished) {
            finished = true;
            connection.end(keepAlive);
        }
    }

    /** Closes the connection, so that the answer does not look whole. */
    public void abort() {
        if (!finished) {
            finished = true;
            connection.abort();
        }
    }

    /** Notes that the caller left. */
    void left() {
        if (!finished) {
            finished = true;
            leaveListener.run();
        }
    }
}
