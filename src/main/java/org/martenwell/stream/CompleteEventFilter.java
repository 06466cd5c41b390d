package org.martenwell.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Passes a stream of server-sent events on unchanged, up to the end of the last complete event or
 * of the last comment between two events, and records the id of that event, so that an interrupted
 * stream can be resumed after it.
 */
public final class CompleteEventFilter {

    private static final String ID_FIELD = "id:";

    /** The bytes after the last complete event or comment. */
    private final ByteArrayOutputStream incomplete = new ByteArrayOutputStream();

    private final EventBoundary boundary = new EventBoundary();

    private Optional<String> lastId = Optional.empty();

    private boolean eventCompleted;

    /** The bytes since the end of the last event, comments included. */
    private int bytesWithoutEvent;

    /** Creates a filter at the start of a stream. */
    public CompleteEventFilter() {}

    /**
     * Adds received bytes.
     *
     * @param bytes The bytes.
     * @return The bytes of the events that are now complete, possibly none.
     */
    public byte[] receive(byte[] bytes) {
        int completeLength = 0;
        for (int index = 0; index < bytes.length; index++) {
            follow(bytes[index]);
            if (bytes[index] == '\n' && !boundary.withinEvent()) {
                completeLength = index + 1;
            }
        }
        if (completeLength == 0) {
            incomplete.writeBytes(bytes);
            return new byte[0];
        }
        incomplete.write(bytes, 0, completeLength);
        byte[] complete = incomplete.toByteArray();
        incomplete.reset();
        incomplete.write(bytes, completeLength, bytes.length - completeLength);
        updateLastId(complete);
        return complete;
    }

    /**
     * Adds bytes of a stream that is passed on as it arrives and can't be resumed.
     *
     * @param bytes The bytes.
     */
    public void follow(byte[] bytes) {
        for (byte each : bytes) {
            follow(each);
        }
    }

    private void follow(byte next) {
        boolean within = boundary.withinEvent();
        boolean ended = boundary.receive(next) && within;
        bytesWithoutEvent = ended ? 0 : bytesWithoutEvent + 1;
        eventCompleted |= ended;
    }

    /** {@return the number of bytes since the end of the last event, comments included} */
    public int bytesWithoutEvent() {
        return bytesWithoutEvent;
    }

    /** {@return the number of bytes that are kept until their event is complete} */
    public int keptBytes() {
        return incomplete.size();
    }

    /** {@return {@code true} once an event was complete} */
    public boolean eventCompleted() {
        return eventCompleted;
    }

    /** {@return {@code true} if the bytes received so far end within an event} */
    public boolean withinEvent() {
        return boundary.withinEvent();
    }

    /**
     * Returns and clears the bytes after the last complete event, for a stream that has ended
     * regularly.
     *
     * @return The bytes, possibly none.
     */
    public byte[] tail() {
        byte[] tail = incomplete.toByteArray();
        reset();
        return tail;
    }

    /** Discards the incomplete event of an interrupted stream before it is resumed. */
    public void reset() {
        incomplete.reset();
        boundary.reset();
        bytesWithoutEvent = 0;
    }

    /**
     * {@return the id of the last complete event that has one, as {@code Last-Event-ID} states it:
     * one character per byte; or empty}
     */
    public Optional<String> lastId() {
        return lastId;
    }

    private void updateLastId(byte[] complete) {
        String text = new String(complete, StandardCharsets.ISO_8859_1);
        int line = text.lastIndexOf("\n" + ID_FIELD) + 1;
        if (text.startsWith(ID_FIELD, line)) {
            int end = text.indexOf('\n', line);
            lastId = Optional.of(text.substring(line + ID_FIELD.length(), end).strip());
        }
    }
}
