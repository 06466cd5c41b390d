package org.martenwell.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.message.PeerMessage;
import org.msgpack.core.MessagePackException;

/**
 * Decodes messages written by a {@link MessageWriter}. One reader serves one direction of a
 * connection and must be given all payloads in order.
 */
public final class MessageReader {

    private final FieldReader fields = new FieldReader();

    /** Creates a reader for a new connection. */
    public MessageReader() {}

    /**
     * Decodes the messages of one payload.
     *
     * @param payload The encoded messages, without separators.
     * @return The messages in order.
     * @throws MartenwellException Of kind {@link ErrorKind#BAD_FRAME} if the payload is malformed.
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

    private PeerMessage readNext() throws IOException {
        int number = fields.intNumber();
        return MessageType.of(number)
                .orElseThrow(
                        () ->
                                MartenwellException.of(
                                        ErrorKind.BAD_FRAME, "Unknown message type " + number))
                .read(fields);
    }
}
