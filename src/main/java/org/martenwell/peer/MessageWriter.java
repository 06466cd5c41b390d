package org.martenwell.peer;

import java.io.IOException;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.message.PeerMessage;

/** Writes the messages of one direction of a connection. */
public final class MessageWriter {

    /** Writes fields. */
    private final FieldWriter fields = new FieldWriter();

    /** Creates a writer for a new connection. */
    public MessageWriter() {}

    /**
     * Writes a message.
     *
     * @param message The message.
     * @return Its form.
     */
    public byte[] write(PeerMessage message) {
        MessageType type = MessageType.of(message);
        try {
            fields.number(type.number());
            type.write(message, fields);
            return fields.drain();
        } catch (IOException exception) {
            throw MartenwellException.of(ErrorKind.INTERNAL, "No form.", exception);
        }
    }
}
