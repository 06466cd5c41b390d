package org.martenwell.exchange;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The way of a response to its caller, as the connection on which the request arrived. Its methods
 * are called on the event loop.
 */
public interface ResponseChannel {

    /**
     * Sends a complete response.
     *
     * @param status The status code.
     * @param headers The headers, to which framing and connection headers are added.
     * @param content The body, which isn't sent in response to {@code HEAD}.
     * @param keepAlive {@code true} if the caller allows a persistent connection.
     */
    void respond(int status, HttpHeaders headers, byte[] content, boolean keepAlive);

    /**
     * Sends the head of a response of unknown length.
     *
     * @param status The status code.
     * @param headers The headers, whose framing and connection headers are replaced.
     * @param framing The framing of the body.
     * @param keepAlive {@code true} if the caller allows a persistent connection.
     */
    void begin(int status, HttpHeaders headers, ResponseFraming framing, boolean keepAlive);

    /**
     * Sends a piece of a response.
     *
     * @param piece The non-empty piece, which must not be modified afterwards.
     */
    void write(byte[] piece);

    /**
     * Ends a response, with its last chunk if it has chunks.
     *
     * @param keepAlive {@code true} if the connection can carry another response.
     */
    void end(boolean keepAlive);

    /** Ends the request with status 500, or like {@link #abort} if a response has begun. */
    void responseFailed();

    /**
     * Ends the response visibly incomplete, without notifying the exchange.
     *
     * @param reason The reason.
     */
    void abort(CloseReason reason);

    /** {@return the number of response bytes that are not yet written to the caller's socket} */
    int unwrittenBytes();

    /**
     * Receives notice that the request is sent to a target.
     *
     * @param attempts The number of targets that it has been sent to, including this one.
     */
    default void requestSent(int attempts) {}
}
