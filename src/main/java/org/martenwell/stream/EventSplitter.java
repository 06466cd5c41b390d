package org.martenwell.stream;

import com.google.common.base.Splitter;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/**
 * Cuts a stream of server-sent events behind whole events, so that a caller never gets part of one
 * and a broken stream goes on behind the last whole one. Events end with an empty line.
 */
public final class EventSplitter {

    /** The largest event, in bytes. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    /** The data of the event that ends an OpenAI stream. */
    private static final String END_MARKER = "[DONE]";

    /** The bytes behind the last whole event. */
    private final ByteArrayOutputStream rest = new ByteArrayOutputStream();

    /** {@code true} if the last byte ended a line. */
    private boolean lineEnded;

    /** Where the last whole event ends in the rest. */
    private int wholeUntil;

    /** Creates a splitter at the start of a stream. */
    public EventSplitter() {}

    /**
     * Takes in bytes.
     *
     * @param bytes The bytes.
     * @return The whole events, possibly none.
     */
    public EventBatch receive(byte[] bytes) {
        for (byte each : bytes) {
            if (each == '\r') {
                continue;
            }
            rest.write(each);
            if (each == '\n') {
                if (lineEnded) {
                    wholeUntil = rest.size();
                }
                lineEnded = true;
            } else {
                lineEnded = false;
            }
        }
        byte[] all = rest.toByteArray();
        byte[] whole = Arrays.copyOf(all, wholeUntil);
        rest.reset();
        rest.write(all, wholeUntil, all.length - wholeUntil);
        wholeUntil = 0;
        if (rest.size() > MAX_EVENT_BYTES) {
            throw MartenwellException.of(ErrorKind.TARGET_FAILED, "An event is too large.");
        }
        return batch(whole);
    }

    /** Drops the bytes behind the last whole event, because the stream broke. */
    public void reset() {
        rest.reset();
        lineEnded = false;
    }

    /**
     * Reads ids and the end marker of whole events.
     *
     * @param whole The events.
     * @return The batch.
     */
    private static EventBatch batch(byte[] whole) {
        int count = 0;
        boolean ended = false;
        Optional<String> lastId = Optional.empty();
        String text = new String(whole, StandardCharsets.UTF_8);
        for (String line : Splitter.on('\n').split(text)) {
            if (line.startsWith("id:")) {
                lastId = Optional.of(line.substring("id:".length()).strip());
            } else if (line.startsWith("data:")) {
                boolean marker = line.substring("data:".length()).strip().equals(END_MARKER);
                ended = ended || marker;
                count += marker ? 0 : 1;
            }
        }
        return new EventBatch(new EventBytes(whole), count, lastId, ended);
    }
}
