package org.martenwell.peer;

import java.io.IOException;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.message.PeerMessage;

/** Encodes the messages of one direction of a connection. */
public final class MessageWriter {

    private final FieldWriter fields = new FieldWriter();

    /** Creates a writer for a new connection. */
    public MessageWriter() {}

    /**
     * Encodes a message. The receiver must decode all messages of a writer in order, because names
     * are abbreviated.
     *
     * @param message The message.
     * @return The encoded message.
     */
    public byte[] write(PeerMessage message) {
        MessageType type = MessageType.of(message);
        try {
            fields.number(type.number());
            type.write(message, fields);
            return fields.drain();
        } catch (IOException exception) {
            throw MartenwellException.of(
                    ErrorKind.INTERNAL, "The message can't be encoded.", exception);
        }
    }
}
