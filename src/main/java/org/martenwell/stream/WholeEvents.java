package org.martenwell.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Lets the bytes of a stream of server-sent events through up to the last whole event, unchanged,
 * and remembers that event's id. So a stream that breaks within an event goes on behind the last
 * whole one.
 */
public final class WholeEvents {

    /** The beginning of a line that holds an id. */
    private static final String ID = "id:";

    /** The bytes behind the last whole event. */
    private final ByteArrayOutputStream rest = new ByteArrayOutputStream();

    /** How many bytes the present line has, its end not counted. */
    private int lineBytes;

    /** The id of the last whole event. */
    private Optional<String> lastId = Optional.empty();

    /** Creates a filter at the start of a stream. */
    public WholeEvents() {}

    /**
     * Takes in bytes.
     *
     * @param bytes The bytes.
     * @return The bytes up to the last whole event, possibly none.
     */
    public byte[] receive(byte[] bytes) {
        int wholeUntil = 0;
        for (byte each : bytes) {
            rest.write(each);
            if (each == '\n') {
                wholeUntil = lineBytes == 0 ? rest.size() : wholeUntil;
                lineBytes = 0;
            } else if (each != '\r') {
                lineBytes++;
            }
        }
        if (wholeUntil == 0) {
            return new byte[0];
        }
        byte[] all = rest.toByteArray();
        rest.reset();
        rest.write(all, wholeUntil, all.length - wholeUntil);
        byte[] whole = Arrays.copyOf(all, wholeUntil);
        readIds(whole);
        return whole;
    }

    /**
     * Returns the bytes behind the last whole event, once the stream has ended well.
     *
     * @return The bytes, possibly none.
     */
    public byte[] tail() {
        byte[] tail = rest.toByteArray();
        reset();
        return tail;
    }

    /** Drops the bytes behind the last whole event, because the stream broke. */
    public void reset() {
        rest.reset();
        lineBytes = 0;
    }

    /**
     * Returns the id of the last whole event.
     *
     * @return The id or empty if no event had one.
     */
    public Optional<String> lastId() {
        return lastId;
    }

    /**
     * Reads the ids of whole events.
     *
     * @param whole The events.
     */
    private void readIds(byte[] whole) {
        String text = new String(whole, StandardCharsets.UTF_8);
        int line = text.lastIndexOf("\n" + ID) + 1;
        if (text.startsWith(ID, line)) {
            int end = text.indexOf('\n', line);
            lastId = Optional.of(text.substring(line + ID.length(), end).strip());
        }
    }
}
