package org.martenwell.gateway;

import io.netty.handler.codec.http.HttpResponse;
import org.martenwell.exchange.ResponseFailure;
import org.martenwell.exchange.ResponseFraming;

/** Receives the events of attempts that are not over. */
interface AttemptListener {

    /**
     * Called once the request is handed to the connection of its attempt.
     *
     * @param from The attempt.
     * @param earlierRequests The requests that the connection carried before.
     */
    void requestWritten(SendAttempt from, int earlierRequests);

    /**
     * Called if the target became unavailable while the connection opened, so that nothing was
     * sent.
     *
     * @param from The attempt, which is over.
     */
    void targetUnavailable(SendAttempt from);

    /**
     * Called with the head of the response.
     *
     * @param from The attempt.
     * @param response The head.
     */
    void responseStarted(SendAttempt from, HttpResponse response);

    /**
     * Called with the first chunk of the response body, before {@link #bodyReceived}.
     *
     * @param from The attempt.
     */
    void bodyStarted(SendAttempt from);

    /** Called once the response has been in progress for a while. */
    void responseContinues();

    /**
     * Called with each chunk of the response body.
     *
     * @param chunk The bytes.
     * @return {@code false} if the response is too large.
     */
    boolean bodyReceived(byte[] chunk);

    /**
     * Called at the end of the response.
     *
     * @param from The attempt, which is over.
     * @param framing The way in which the end of the response was determined.
     */
    void responseEnded(SendAttempt from, ResponseFraming framing);

    /**
     * Called if the attempt failed.
     *
     * @param from The attempt, which is over.
     * @param failure The failure.
     */
    void attemptFailed(SendAttempt from, ResponseFailure failure);
}
