package org.martenwell.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.util.Locale;
import java.util.Optional;
import org.martenwell.exchange.CallerExchange;
import org.martenwell.exchange.ResponseFraming;
import org.martenwell.route.Route;
import org.martenwell.route.RouteType;
import org.martenwell.service.StepGuard;
import org.martenwell.stream.CompleteEventFilter;

/**
 * Forwards the responses of targets to a caller. Streams are forwarded as they arrive, all other
 * responses once they are complete. A resumable stream is forwarded in complete events only, so
 * that another target can continue it. A close-delimited response is forwarded as one, since only
 * the target knows whether it is complete.
 */
final class ResponseRelay {

    private static final int OK = 200;

    private static final int FIRST_REDIRECTION_STATUS = 300;

    private static final String EVENT_STREAM = "text/event-stream";

    /**
     * The number of bytes not yet written to the caller above which reading from the target is
     * paused.
     */
    private static final int MAX_UNWRITTEN_BYTES = 262_144;

    /** The most bytes of a stream between the ends of two events, comments included. */
    private static final int MAX_BYTES_WITHOUT_EVENT = 262_144;

    /** The interval at which the backlog of a slow caller is checked, in milliseconds. */
    private static final long BACKLOG_CHECK_MILLIS = 20;

    private final GatewayCore core;

    private final CallerExchange exchange;

    private final StepGuard guard;

    /** The attempt whose response is forwarded, or {@code null} before the first attempt. */
    private SendAttempt source;

    /** The head of the response, or {@code null} until it arrives. */
    private HttpResponse head;

    /** The framing of the response, or {@code null} until its head arrives. */
    private ResponseFraming framing;

    private boolean streaming;

    /** Set once an event of a resumable stream was forwarded. */
    private boolean eventForwarded;

    /** The bytes that are reserved for the response, of its body or of an incomplete event. */
    private int reservedBytes;

    /** The body of a response that is forwarded once it is complete. */
    private final ByteArrayOutputStream bufferedBody = new ByteArrayOutputStream();

    /** Splits a resumable stream at event boundaries. */
    private CompleteEventFilter events = new CompleteEventFilter();

    /** Set if another gateway has begun the response. */
    private boolean begunElsewhere;

    /**
     * Creates a relay that awaits its first attempt.
     *
     * @param core The state that all requests share.
     * @param exchange The request and its response.
     * @param guard Runs the timers.
     */
    ResponseRelay(GatewayCore core, CallerExchange exchange, StepGuard guard) {
        this.core = core;
        this.exchange = exchange;
        this.guard = guard;
    }

    /**
     * Continues a resumable stream that another gateway has begun.
     *
     * @param forwarded The events that the caller has received.
     */
    void continueBehind(CompleteEventFilter forwarded) {
        begunElsewhere = true;
        events = forwarded;
        events.reset();
        eventForwarded = forwarded.eventCompleted();
    }

    /** {@return {@code true} if another gateway has begun the response} */
    boolean begunElsewhere() {
        return begunElsewhere;
    }

    /**
     * Discards the incomplete response of an earlier attempt and awaits the next one.
     *
     * @param attempt The new attempt.
     */
    void reset(SendAttempt attempt) {
        source = attempt;
        head = null;
        framing = null;
        streaming = false;
        release();
    }

    /** Discards what is kept of an incomplete response. */
    void release() {
        bufferedBody.reset();
        events.reset();
        reserve(0);
    }

    /**
     * Reserves memory for what is kept of the response.
     *
     * @param bytes The number of bytes, instead of those reserved before.
     * @return {@code false} if the response is too large.
     */
    private boolean reserve(int bytes) {
        core.responseMemory().release(reservedBytes);
        reservedBytes = 0;
        boolean reserved = core.responseMemory().reserve(0, bytes);
        reservedBytes = reserved ? bytes : 0;
        return reserved;
    }

    /**
     * Accepts the head of a response.
     *
     * @param response The head.
     * @param route The request's route.
     * @return {@code false} if the caller already received a part of a stream that this response
     *     does not continue.
     */
    boolean begin(HttpResponse response, Route route) {
        head = response;
        framing = ResponseFraming.of(exchange.request().method(), response);
        streaming = isStream(response, route);
        return mayBegin(response, route);
    }

    /**
     * Returns whether the caller can be sent a response.
     *
     * @param response The head of the response.
     * @param route The request's route.
     * @return {@code false} if the caller already received a part of a stream that this response
     *     does not continue.
     */
    boolean mayBegin(HttpResponse response, Route route) {
        return isStream(response, route) || !exchange.headSent();
    }

    private static boolean isStream(HttpResponse response, Route route) {
        return response.status().code() == OK && route.type() == RouteType.STREAMING;
    }

    /**
     * Accepts a chunk of the response body.
     *
     * @param chunk The bytes.
     * @param resumable {@code true} if the stream can be resumed at another target.
     * @return {@code false} if the response is too large: its body, if it isn't a stream, or what
     *     it sends without completing an event.
     */
    boolean receive(byte[] chunk, boolean resumable) {
        if (!streaming) {
            bufferedBody.writeBytes(chunk);
            return reserve(bufferedBody.size());
        }
        beginStream();
        byte[] forwarded = chunk;
        if (resumable) {
            forwarded = events.receive(chunk);
        } else {
            events.follow(chunk);
        }
        exchange.write(forwarded);
        eventForwarded |= resumable && events.eventCompleted();
        if (exchange.unwrittenBytes() > MAX_UNWRITTEN_BYTES) {
            source.pause();
            scheduleBacklogCheck(source);
        }
        boolean endless = events.bytesWithoutEvent() > MAX_BYTES_WITHOUT_EVENT;
        return reserve(events.keptBytes()) && !(endless && eventStream());
    }

    /**
     * Returns whether the response that has ended lacks the rest of an event, whatever its framing.
     *
     * @return {@code true} if it is a stream of events that ended within one.
     */
    boolean endedWithinEvent() {
        return streaming && events.withinEvent() && eventStream();
    }

    /** Returns whether the body has the type of server-sent events, or none. */
    private boolean eventStream() {
        String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE, EVENT_STREAM);
        return type.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM);
    }

    /**
     * Returns whether {@link #end} can pass on the end of the response without claiming more than
     * is known. It can't if a chunked stream was resumed by a close-delimited response.
     *
     * @return {@code true} if the caller gets the framing of the target's response, or none.
     */
    boolean mayEnd() {
        return framing.showsTruncation()
                || !exchange.headSent()
                || !exchange.framing().showsTruncation();
    }

    /** Ends the response, of which all bytes have arrived. */
    void end() {
        if (streaming) {
            beginStream();
            exchange.write(events.tail());
            exchange.end();
        } else if (!framing.showsTruncation()) {
            exchange.respondCloseDelimited(
                    status(), core.dialect().forCaller(head.headers()), bufferedBody.toByteArray());
        } else {
            exchange.respond(
                    status(), core.dialect().forCaller(head.headers()), bufferedBody.toByteArray());
        }
    }

    /**
     * Returns whether the response is a failure whose end only the close of its connection shows.
     *
     * @return {@code false} before the head has arrived.
     */
    boolean closeDelimitedFailure() {
        return head != null && !framing.showsTruncation() && status() >= FIRST_REDIRECTION_STATUS;
    }

    /**
     * Returns whether the response is forwarded as it arrives.
     *
     * @return {@code true} if the response is a stream.
     */
    boolean streaming() {
        return streaming;
    }

    /**
     * Returns the status of the response. Call it only after {@link #begin}.
     *
     * @return The HTTP status code.
     */
    int status() {
        return head.status().code();
    }

    /**
     * Returns the last event that was forwarded completely.
     *
     * @return The event's id with one character per byte, or empty if no event was forwarded.
     */
    Optional<String> lastEventId() {
        return events.lastId();
    }

    /**
     * Returns whether the caller was sent a part of a resumable stream.
     *
     * @return {@code true} once a complete event was forwarded.
     */
    boolean eventForwarded() {
        return eventForwarded;
    }

    private void beginStream() {
        if (!exchange.headSent()) {
            ResponseFraming wanted =
                    framing.showsTruncation()
                            ? ResponseFraming.CHUNKED
                            : ResponseFraming.CLOSE_DELIMITED;
            exchange.begin(OK, core.dialect().forCaller(head.headers()), wanted);
        }
    }

    private void scheduleBacklogCheck(SendAttempt paused) {
        core.reactor()
                .delayBackground(BACKLOG_CHECK_MILLIS, guard.guarded(() -> checkBacklog(paused)));
    }

    /** Resumes a paused attempt once at most half of the permitted backlog is unwritten. */
    private void checkBacklog(SendAttempt paused) {
        if (paused != source || exchange.finished()) {
            return;
        }
        if (exchange.unwrittenBytes() > MAX_UNWRITTEN_BYTES / 2) {
            scheduleBacklogCheck(paused);
        } else {
            paused.resume();
        }
    }
}
