package org.martenwell.exchange;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * One request of a caller and its response. A response is sent complete by {@link #respond}, or in
 * pieces by {@link #begin}, {@link #write} and {@link #end}. Calls after the exchange has finished
 * have no effect.
 */
public final class CallerExchange {

    private final ResponseChannel channel;

    private final CallerRequest request;

    private final boolean keepAlive;

    /** {@code true} if the caller understands chunks, which HTTP/1.0 doesn't have. */
    private final boolean chunksAllowed;

    /** The framing of the response that was begun. */
    private ResponseFraming framing = ResponseFraming.CHUNKED;

    private Runnable disconnectListener = () -> {};

    private Runnable stopListener = () -> {};

    /** Set once the response head is sent. */
    private boolean headSent;

    /** Set once the exchange is responded to, aborted or abandoned by the caller. */
    private boolean finished;

    /**
     * Creates an exchange.
     *
     * @param channel The way of the response to the caller.
     * @param request The complete request.
     * @param keepAlive {@code true} if the caller allows a persistent channel.
     * @param chunksAllowed {@code true} if the caller understands chunks.
     */
    public CallerExchange(
            ResponseChannel channel,
            CallerRequest request,
            boolean keepAlive,
            boolean chunksAllowed) {
        this.channel = channel;
        this.request = request;
        this.keepAlive = keepAlive;
        this.chunksAllowed = chunksAllowed;
    }

    /** {@return the request} */
    public CallerRequest request() {
        return request;
    }

    /** {@return {@code true} if the caller allows a persistent connection} */
    public boolean keepAlive() {
        return keepAlive;
    }

    /** {@return {@code true} if the caller understands chunks} */
    public boolean chunksAllowed() {
        return chunksAllowed;
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
        return channel.unwrittenBytes();
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
     * Sets the action for a server that stops before a response has begun. It may respond.
     *
     * @param listener Called at most once, on the event loop.
     */
    public void onStop(Runnable listener) {
        stopListener = listener;
    }

    /**
     * Tells the channel that the request is sent to a target.
     *
     * @param attempts The number of targets that it has been sent to, including this one.
     */
    public void requestSent(int attempts) {
        channel.requestSent(attempts);
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
        channel.respond(status, headers, body, keepAlive);
    }

    /**
     * Sends a complete response and closes the connection behind it, also if the caller would keep
     * it open.
     *
     * @param status The status code.
     * @param headers The headers, without those that frame the body.
     * @param body The body.
     */
    public void respondAndClose(int status, HttpHeaders headers, byte[] body) {
        if (finished) {
            return;
        }
        finished = true;
        headSent = true;
        channel.respond(status, headers, body, false);
    }

    /**
     * Sends a close-delimited response, which doesn't state that its body is complete.
     *
     * @param status The status code.
     * @param headers The headers, without those that frame the body.
     * @param body The body as far as it is known.
     */
    public void respondCloseDelimited(int status, HttpHeaders headers, byte[] body) {
        begin(status, headers, ResponseFraming.CLOSE_DELIMITED);
        write(body);
        end();
    }

    /**
     * Sends the head of a response in chunks.
     *
     * @param status The status code.
     * @param headers The headers, without those that frame the body.
     */
    public void begin(int status, HttpHeaders headers) {
        begin(status, headers, ResponseFraming.CHUNKED);
    }

    /**
     * Sends the head of a response of unknown length.
     *
     * @param status The status code.
     * @param headers The headers, without those that frame the body.
     * @param wanted {@link ResponseFraming#CHUNKED}, or {@link ResponseFraming#CLOSE_DELIMITED} for
     *     a body that may be truncated without notice. Callers of HTTP/1.0 always get the latter.
     */
    public void begin(int status, HttpHeaders headers, ResponseFraming wanted) {
        if (finished) {
            return;
        }
        headSent = true;
        framing = chunksAllowed ? wanted : ResponseFraming.CLOSE_DELIMITED;
        channel.begin(status, headers, framing, keepAlive);
    }

    /** {@return the framing of the response that was begun} */
    public ResponseFraming framing() {
        return framing;
    }

    /**
     * Sends a piece of the response body after {@link #begin}. An empty piece is ignored.
     *
     * @param piece The bytes, which are copied.
     */
    public void write(byte[] piece) {
        if (!finished && piece.length > 0) {
            channel.write(piece);
        }
    }

    /** Completes a response after {@link #begin}. */
    public void end() {
        if (!finished) {
            finished = true;
            channel.end(keepAlive && framing.showsTruncation());
        }
    }

    /**
     * Closes the connection without the last chunk, or resets it if the response is
     * close-delimited, so that the caller sees an incomplete response.
     */
    public void abort() {
        if (!finished) {
            finished = true;
            channel.abort(CloseReason.RESPONSE_ABORTED);
        }
    }

    /**
     * Ends an exchange for which no response can be made: with status 500 if the response head
     * isn't sent, else like {@link #abort}.
     */
    public void failed() {
        if (!finished) {
            finished = true;
            channel.responseFailed();
        }
    }

    /**
     * Has the exchange ended because its server stops; called by the owner of the channel. It has
     * no effect on an exchange that has finished.
     */
    void serverStopped() {
        if (!finished) {
            stopListener.run();
        }
    }

    /**
     * Ends the exchange because its caller has disconnected; called by the owner of the channel. It
     * has no effect on an exchange that has finished.
     */
    public void callerDisconnected() {
        if (!finished) {
            finished = true;
            disconnectListener.run();
        }
    }
}
