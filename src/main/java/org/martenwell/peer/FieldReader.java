package org.martenwell.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * Decodes the fields written by a {@link FieldWriter}. One reader serves one direction of a
 * connection, because names are abbreviated by their order of appearance on it.
 */
final class FieldReader {

    /** The number of encoded units in one unit of service. */
    static final double SERVICE_SCALE = 1000;

    /** Limits the length of strings, so that a forged length can't cause a large allocation. */
    private static final MessagePack.UnpackerConfig UNPACKER =
            new MessagePack.UnpackerConfig().withStringSizeLimit(FrameCodec.MAX_FRAME_BYTES);

    /** The names decoded so far. */
    private final NameTable names = new NameTable();

    /** Decodes the current payload; {@code null} before the first one. */
    private MessageUnpacker unpacker;

    /** Creates a reader for a new connection. */
    FieldReader() {}

    /**
     * Starts decoding the payload of a frame. The table of names is kept.
     *
     * @param bytes The payload.
     */
    void reset(byte[] bytes) {
        unpacker = UNPACKER.newUnpacker(bytes);
    }

    /**
     * Returns whether the payload has unread fields.
     *
     * @return {@code true} if at least one field is left.
     * @throws IOException If the payload ends early.
     */
    boolean hasNext() throws IOException {
        return unpacker.hasNext();
    }

    /**
     * Reads a name, which is either spelled out or a reference to one read before.
     *
     * @return The name.
     * @throws IOException If the payload ends early.
     * @throws MartenwellException If the reference is unknown.
     */
    String name() throws IOException {
        if (unpacker.getNextFormat().getValueType() == ValueType.STRING) {
            String name = unpacker.unpackString();
            names.add(name);
            return name;
        }
        int number = unpacker.unpackInt();
        return names.name(number)
                .orElseThrow(
                        () ->
                                MartenwellException.of(
                                        ErrorKind.BAD_FRAME, "Unknown name number " + number));
    }

    /**
     * Reads a string.
     *
     * @return The string.
     * @throws IOException If the payload ends early.
     */
    String text() throws IOException {
        return unpacker.unpackString();
    }

    /**
     * Reads a byte string.
     *
     * @return The bytes, read-only.
     * @throws IOException If the payload ends early.
     */
    ByteBuffer bytes() throws IOException {
        byte[] bytes = unpacker.readPayload(unpacker.unpackBinaryHeader());
        return ByteBuffer.wrap(bytes).asReadOnlyBuffer();
    }

    /**
     * Reads an integer of up to 64 bits.
     *
     * @return The integer.
     * @throws IOException If the payload ends early.
     */
    long number() throws IOException {
        return unpacker.unpackLong();
    }

    /**
     * Reads an integer of up to 32 bits.
     *
     * @return The integer.
     * @throws IOException If the payload ends early.
     */
    int intNumber() throws IOException {
        return unpacker.unpackInt();
    }

    /**
     * Reads a boolean.
     *
     * @return The boolean.
     * @throws IOException If the payload ends early.
     */
    boolean flag() throws IOException {
        return unpacker.unpackBoolean();
    }

    /**
     * Reads an amount of service.
     *
     * @return The amount in units, with a precision of a thousandth.
     * @throws IOException If the payload ends early.
     */
    double service() throws IOException {
        return unpacker.unpackLong() / SERVICE_SCALE;
    }

    /**
     * Reads a list.
     *
     * @param item Reads one item.
     * @param <T> The type of the items.
     * @return The items in order.
     * @throws IOException If the payload ends early.
     */
    <T> List<T> list(ItemReader<T> item) throws IOException {
        int count = unpacker.unpackArrayHeader();
        List<T> list = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            list.add(item.read(this));
        }
        return list;
    }
}
