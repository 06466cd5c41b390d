package org.martenwell.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.message.PeerMessage;
import org.msgpack.core.MessagePackException;

/** Reads the messages that a {@link MessageWriter} wrote, in the same order. */
public final class MessageReader {

    /** Reads fields. */
    private final FieldReader fields = new FieldReader();

    /** Creates a reader for a new connection. */
    public MessageReader() {}

    /**
     * Reads messages that follow each other, or throws an exception of the kind {@link
     * ErrorKind#BAD_FRAME}.
     *
     * @param payload Their forms.
     * @return The messages.
     */
    public List<PeerMessage> read(byte[] payload) {
        List<PeerMessage> messages = new ArrayList<>();
        try {
            fields.reset(payload);
            while (fields.hasNext()) {
                messages.add(readNext());
            }
            return messages;
        } catch (IOException | MessagePackException exception) {
            throw MartenwellException.of(
                    ErrorKind.BAD_FRAME, "The message can't be read.", exception);
        }
    }

    /**
     * Reads the next message.
     *
     * @return The message.
     * @throws IOException If the payload ends early.
     */
    private PeerMessage readNext() throws IOException {
        int number = fields.intNumber();
        return MessageType.of(number)
                .orElseThrow(
                        () ->
                                MartenwellException.of(
                                        ErrorKind.BAD_FRAME, "Unknown message " + number))
                .read(fields);
    }
}
