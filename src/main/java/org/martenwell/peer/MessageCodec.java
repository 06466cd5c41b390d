package org.martenwell.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.message.PeerMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Turns messages into MessagePack and back. */
public enum MessageCodec {

    /** The only instance. */
    INSTANCE;

    /** Reads with strict limits on strings, so that a false length allocates nothing large. */
    private static final MessagePack.UnpackerConfig UNPACKER =
            new MessagePack.UnpackerConfig().withStringSizeLimit(FrameCodec.MAX_FRAME_BYTES);

    /**
     * Writes a message.
     *
     * @param message The message.
     * @return Its form.
     */
    public byte[] encode(PeerMessage message) {
        MessageType type = MessageType.of(message);
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(type.number());
            type.write(message, packer);
            return packer.toByteArray();
        } catch (IOException exception) {
            throw MartenwellException.of(ErrorKind.INTERNAL, "No form.", exception);
        }
    }

    /**
     * Reads messages that follow each other, or throws an exception of the kind {@link
     * ErrorKind#BAD_FRAME}.
     *
     * @param bytes Their forms.
     * @return The messages.
     */
    public List<PeerMessage> decode(byte[] bytes) {
        List<PeerMessage> messages = new ArrayList<>();
        try (MessageUnpacker unpacker = UNPACKER.newUnpacker(bytes)) {
            while (unpacker.hasNext()) {
                int number = unpacker.unpackInt();
                messages.add(
                        MessageType.of(number)
                                .orElseThrow(() -> badFrame("Unknown message " + number, null))
                                .read(unpacker));
            }
            return messages;
        } catch (IOException | MessagePackException | IllegalArgumentException exception) {
            throw badFrame("The message can't be read.", exception);
        }
    }

    /**
     * Builds the exception for a bad message.
     *
     * @param reason What is wrong.
     * @param cause The cause or {@code null}.
     * @return The exception.
     */
    private static MartenwellException badFrame(String reason, Exception cause) {
        return MartenwellException.of(ErrorKind.BAD_FRAME, reason, cause);
    }
}
