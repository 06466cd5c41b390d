package org.martenwell.gateway;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.martenwell.exchange.CallerExchange;
import org.martenwell.route.Route;
import org.martenwell.route.RouteType;
import org.martenwell.stream.WholeEvents;

/**
 * Hands the answers of targets on to a caller: streams as they arrive, all others whole. A stream
 * that may be resumed is cut behind whole events, so that another target can go on from there.
 */
final class ResponseRelay {

    /** The status of a good answer. */
    private static final int OK = 200;

    /** How much of an answer may wait for the caller before the target is not read on, in bytes. */
    private static final int MAX_UNREAD_BYTES = 262_144;

    /** How often a caller that reads slowly is looked at, in milliseconds. */
    private static final long SLOW_READER_MILLIS = 20;

    /** What all requests share. */
    private final GatewayCore core;

    /** The request and its answer. */
    private final CallerExchange exchange;

    /** The attempt whose answer is handed on or {@code null}. */
    private SendAttempt source;

    /** The head of the answer or {@code null}. */
    private HttpResponse head;

    /** Whether the answer is handed on as it arrives. */
    private boolean streaming;

    /** The answer that is handed on whole. */
    private final ByteArrayOutputStream whole = new ByteArrayOutputStream();

    /** Cuts a stream that may be resumed behind whole events. */
    private final WholeEvents events = new WholeEvents();

    /**
     * Creates a relay that has no answer yet.
     *
     * @param core What all requests share.
     * @param exchange The request and its answer.
     */
    ResponseRelay(GatewayCore core, CallerExchange exchange) {
        this.core = core;
        this.exchange = exchange;
    }

    /**
     * Drops what an earlier attempt left unfinished.
     *
     * @param attempt The attempt that follows.
     */
    void expect(SendAttempt attempt) {
        source = attempt;
        head = null;
        streaming = false;
        whole.reset();
        events.reset();
    }

    /**
     * Takes the head of an answer.
     *
     * @param answer The head.
     * @param route The request's route.
     * @return {@code false} if the answer can't follow what the caller has got already.
     */
    boolean begin(HttpResponse answer, Route route) {
        head = answer;
        streaming = status() == OK && route.type() == RouteType.STREAMING;
        return streaming || !exchange.begun();
    }

    /**
     * Takes a piece of an answer.
     *
     * @param piece The piece.
     * @param resumable Whether the stream may be resumed at another target.
     */
    void receive(byte[] piece, boolean resumable) {
        if (!streaming) {
            whole.writeBytes(piece);
            return;
        }
        beginStream();
        exchange.write(resumable ? events.receive(piece) : piece);
        if (exchange.unreadBytes() > MAX_UNREAD_BYTES) {
            source.pause();
            resumeLater(source);
        }
    }

    /** Ends the answer, of which every byte arrived. */
    void end() {
        if (streaming) {
            beginStream();
            exchange.write(events.tail());
            exchange.end();
        } else {
            exchange.respond(
                    status(), core.dialect().forCaller(head.headers()), whole.toByteArray());
        }
    }

    /**
     * Returns whether the answer is handed on as it arrives.
     *
     * @return {@code true} if it is a stream.
     */
    boolean streaming() {
        return streaming;
    }

    /**
     * Tells whether the answer's end can be told from the end of its connection.
     *
     * @return {@code true} if it has a length or comes in chunks.
     */
    boolean framed() {
        return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    }

    /**
     * Returns the status of the answer that arrives.
     *
     * @return The status.
     */
    int status() {
        return head.status().code();
    }

    /**
     * Returns the last whole event that was handed on.
     *
     * @return The event's id or empty if there was none.
     */
    Optional<String> lastEventId() {
        return events.lastId();
    }

    /** Sends the head of a stream, if it was not sent yet. */
    private void beginStream() {
        if (!exchange.begun()) {
            exchange.begin(OK, core.dialect().forCaller(head.headers()));
        }
    }

    /**
     * Reads on once the caller has read most of what waits.
     *
     * @param paused The attempt.
     */
    private void resumeLater(SendAttempt paused) {
        core.reactor().delayBackground(SLOW_READER_MILLIS, () -> lookAtReader(paused));
    }

    /**
     * Looks whether a caller that reads slowly has read most of what waits.
     *
     * @param paused The attempt.
     */
    private void lookAtReader(SendAttempt paused) {
        if (paused != source || exchange.finished()) {
            return;
        }
        if (exchange.unreadBytes() > MAX_UNREAD_BYTES / 2) {
            resumeLater(paused);
        } else {
            paused.resume();
        }
    }
}
