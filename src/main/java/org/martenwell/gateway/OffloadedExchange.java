package org.martenwell.gateway;

import io.activej.reactor.schedule.ScheduledRunnable;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.martenwell.exchange.CallerExchange;
import org.martenwell.exchange.ResponseFraming;
import org.martenwell.exchange.ResponseMemory;
import org.martenwell.peer.ResponsePart;
import org.martenwell.stream.CompleteEventFilter;

/**
 * A request that another gateway handles, at the gateway at which it arrived. It passes the parts
 * of the response to the caller without looking into them, except those of a resumable stream:
 * these are passed on in complete events only, so that a target can continue it.
 */
final class OffloadedExchange {

    private static final int OK = 200;

    /** The bytes written to the caller after which the handling gateway is notified. */
    private static final long REPORTED_BYTES = 1 << 16;

    private final long id;

    private final String peer;

    private final CallerExchange exchange;

    private final ResponseMemory memory;

    private final boolean resumable;

    /** Splits a resumable stream at event boundaries. */
    private final CompleteEventFilter events = new CompleteEventFilter();

    /** Set once a resumable stream has begun. */
    private boolean inEvents;

    /** The bytes of an incomplete event that are reserved in memory. */
    private int reservedBytes;

    /** The timer for the deadline of the request. */
    private ScheduledRunnable timeout;

    /** The head of a response that is kept until it is complete, or {@code null}. */
    private ResponsePart keptHead;

    private final ByteArrayOutputStream keptBody = new ByteArrayOutputStream();

    private long receivedBytes;

    private long reportedBytes;

    /** The number of targets that the request may have been sent to. */
    private int attempts = 1;

    /** Set if the other gateway took another attempt from its retry budget. */
    private boolean retryPaid;

    /**
     * Creates the exchange of a request that has just been sent.
     *
     * @param id The number of the request.
     * @param peer The gateway that handles it.
     * @param exchange The request and its response.
     * @param memory Bounds what is kept of responses.
     * @param resumable {@code true} if an interrupted stream may be resumed.
     */
    OffloadedExchange(
            long id,
            String peer,
            CallerExchange exchange,
            ResponseMemory memory,
            boolean resumable) {
        this.id = id;
        this.peer = peer;
        this.exchange = exchange;
        this.memory = memory;
        this.resumable = resumable;
    }

    /** {@return the number of the request} */
    long id() {
        return id;
    }

    /** {@return the gateway that handles the request} */
    String peer() {
        return peer;
    }

    /** {@return the request and its response} */
    CallerExchange exchange() {
        return exchange;
    }

    /**
     * Sets the timer for the deadline of the request; called once.
     *
     * @param timer The timer.
     */
    void timeout(ScheduledRunnable timer) {
        timeout = timer;
    }

    /** Cancels that timer. */
    void cancelTimeout() {
        timeout.cancel();
    }

    /** {@return the number of targets that the request may have been sent to, at least 1} */
    int attempts() {
        return attempts;
    }

    /**
     * Records that the request was sent to another target.
     *
     * @param count The number of targets that it has been sent to.
     */
    void sentAgain(int count) {
        attempts = Math.max(attempts, count);
    }

    /**
     * Records that the other gateway handles the request no more.
     *
     * @param part The notice.
     */
    void broken(ResponsePart part) {
        retryPaid = part.value() > 0;
    }

    /** {@return {@code true} if the other gateway took another attempt from its retry budget} */
    boolean retryPaid() {
        return retryPaid;
    }

    /**
     * Begins a response.
     *
     * @param head The head.
     * @param framing The framing of the body.
     */
    void begin(ResponsePart head, ResponseFraming framing) {
        inEvents = resumable && head.value() == OK;
        exchange.begin(head.value(), HeaderFields.headers(head.headers()), framing);
    }

    /**
     * Begins a response that is kept until it is complete.
     *
     * @param head The head.
     */
    void keep(ResponsePart head) {
        keptHead = head;
    }

    /**
     * Accepts a piece of the body.
     *
     * @param part The piece.
     * @return {@code false} if there is no memory for it.
     */
    boolean write(ResponsePart part) {
        byte[] piece = bytes(part);
        receivedBytes += piece.length;
        if (inEvents) {
            exchange.write(events.receive(piece));
            return reserve(events.keptBytes());
        }
        if (keptHead == null) {
            exchange.write(piece);
            return true;
        }
        boolean reserved = memory.reserve(keptBody.size(), piece.length);
        if (reserved) {
            keptBody.writeBytes(piece);
        }
        return reserved;
    }

    /** Reserves memory for an incomplete event. */
    private boolean reserve(int bytes) {
        memory.release(reservedBytes);
        reservedBytes = 0;
        boolean reserved = memory.reserve(0, bytes);
        reservedBytes = reserved ? bytes : 0;
        return reserved;
    }

    /**
     * Returns the events that the caller has received, so that a target can continue the stream.
     *
     * @return The events, empty if the response can't be continued: it has not begun, is no
     *     resumable stream, or its events have no ids.
     */
    Optional<CompleteEventFilter> forwarded() {
        boolean continuable = events.lastId().isPresent() || !events.eventCompleted();
        return Optional.of(events).filter(each -> inEvents && continuable);
    }

    /** Ends a response that was begun. */
    void end() {
        if (keptHead == null) {
            exchange.write(events.tail());
            exchange.end();
        } else {
            HttpHeaders headers = HeaderFields.headers(keptHead.headers());
            exchange.respond(keptHead.value(), headers, keptBody.toByteArray());
        }
    }

    /**
     * Sends a complete response.
     *
     * @param part The response.
     */
    void respond(ResponsePart part) {
        exchange.respond(part.value(), HeaderFields.headers(part.headers()), bytes(part));
    }

    /** Releases what is kept of the response. */
    void release() {
        memory.release(keptBody.size() + reservedBytes);
        keptBody.reset();
        reservedBytes = 0;
    }

    /**
     * Returns whether more bytes have arrived than the handling gateway needs to know of, so that
     * it has to be notified once they are written.
     *
     * @return {@code true} if it has.
     */
    boolean reportDue() {
        return receivedBytes - reportedBytes >= REPORTED_BYTES;
    }

    /**
     * Returns whether enough of those bytes are written to the caller to tell the handling gateway.
     *
     * @return {@code true} if they are.
     */
    boolean reportReady() {
        return writtenBytes() - reportedBytes >= REPORTED_BYTES;
    }

    /** {@return the bytes of the body written to the caller, which count as reported} */
    long takeReport() {
        reportedBytes = writtenBytes();
        return reportedBytes;
    }

    /** Returns the bytes written to the caller, less those that frame them. */
    private long writtenBytes() {
        return Math.max(reportedBytes, receivedBytes - exchange.unwrittenBytes());
    }

    private static byte[] bytes(ResponsePart part) {
        ByteBuffer body = part.body().duplicate();
        byte[] bytes = new byte[body.remaining()];
        body.get(bytes);
        return bytes;
    }
}
