package org.martenwell.stream;

/**
 * Tracks whether the bytes received so far of a stream of server-sent events end within an event.
 */
final class EventBoundary {

    /** The length of the current line without its terminator. */
    private int lineBytes;

    /** Set while the current line is a comment, which belongs to no event. */
    private boolean comment;

    private boolean withinEvent;

    /** Creates a tracker at the start of a stream. */
    EventBoundary() {}

    /**
     * Adds a received byte.
     *
     * @param next The byte.
     * @return {@code true} if it ends an empty line, behind which no event is incomplete.
     */
    boolean receive(byte next) {
        if (next == '\n') {
            boolean emptyLine = lineBytes == 0;
            withinEvent &= !emptyLine;
            lineBytes = 0;
            return emptyLine;
        }
        if (next != '\r') {
            comment = lineBytes == 0 ? next == ':' : comment;
            withinEvent |= !comment;
            lineBytes++;
        }
        return false;
    }

    /** {@return {@code true} if an event has begun and is not complete} */
    boolean withinEvent() {
        return withinEvent;
    }

    /** Returns to the start of a line between two events. */
    void reset() {
        lineBytes = 0;
        withinEvent = false;
    }
}
