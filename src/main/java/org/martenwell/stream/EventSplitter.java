package org.martenwell.stream;

import com.google.common.base.Splitter;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/**
 * Splits a stream of server-sent events at event boundaries and reads their ids, so that a caller
 * never receives part of an event and an interrupted stream resumes after the last complete one.
 */
public final class EventSplitter {

    /** The maximum size of an incomplete event. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    /** The data of the event that ends a stream of the OpenAI API. */
    private static final String END_MARKER = "[DONE]";

    /** The bytes after the last complete event. */
    private final ByteArrayOutputStream incomplete = new ByteArrayOutputStream();

    /** Set if the last byte ended a line, so that another line end completes the event. */
    private boolean lineEnded;

    /** The number of buffered bytes up to the end of the last complete event. */
    private int completeLength;

    /** Creates a splitter at the start of a stream. */
    public EventSplitter() {}

    /**
     * Adds received bytes. Carriage returns are dropped.
     *
     * @param bytes The bytes.
     * @return The events that are now complete, possibly none.
     * @throws MartenwellException If an incomplete event exceeds the maximum size.
     */
    public EventBatch receive(byte[] bytes) {
        for (byte each : bytes) {
            if (each == '\r') {
                continue;
            }
            incomplete.write(each);
            if (each == '\n') {
                if (lineEnded) {
                    completeLength = incomplete.size();
                }
                lineEnded = true;
            } else {
                lineEnded = false;
            }
        }
        byte[] all = incomplete.toByteArray();
        byte[] complete = Arrays.copyOf(all, completeLength);
        incomplete.reset();
        incomplete.write(all, completeLength, all.length - completeLength);
        completeLength = 0;
        if (incomplete.size() > MAX_EVENT_BYTES) {
            throw MartenwellException.of(
                    ErrorKind.TARGET_FAILED, "A server-sent event exceeds 1 MiB.");
        }
        return batch(complete);
    }

    /** Discards the incomplete event of an interrupted stream before it is resumed. */
    public void reset() {
        incomplete.reset();
        lineEnded = false;
    }

    private static EventBatch batch(byte[] complete) {
        int count = 0;
        boolean ended = false;
        Optional<String> lastId = Optional.empty();
        String text = new String(complete, StandardCharsets.ISO_8859_1);
        for (String line : Splitter.on('\n').split(text)) {
            if (line.startsWith("id:")) {
                lastId = Optional.of(line.substring("id:".length()).strip());
            } else if (line.startsWith("data:")) {
                boolean marker = line.substring("data:".length()).strip().equals(END_MARKER);
                ended = ended || marker;
                count += marker ? 0 : 1;
            }
        }
        return new EventBatch(new EventBytes(complete), count, lastId, ended);
    }
}
