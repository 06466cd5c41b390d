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
 * Reads the fields that a {@link FieldWriter} wrote, over the same connection in the same order.
 */
final class FieldReader {

    /** How many parts an amount of service is told in. */
    static final double SERVICE_SCALE = 1000;

    /** Reads with a strict limit on strings, so that a false length allocates nothing large. */
    private static final MessagePack.UnpackerConfig UNPACKER =
            new MessagePack.UnpackerConfig().withStringSizeLimit(FrameCodec.MAX_FRAME_BYTES);

    /** The names read so far. */
    private final NameTable names = new NameTable();

    /** Gives the fields, or {@code null} between frames. */
    private MessageUnpacker unpacker;

    /** Creates a reader for a new connection. */
    FieldReader() {}

    /**
     * Takes in a frame's payload.
     *
     * @param bytes The payload.
     */
    void reset(byte[] bytes) {
        unpacker = UNPACKER.newUnpacker(bytes);
    }

    /**
     * Returns whether more follows.
     *
     * @return {@code true} if so.
     * @throws IOException If the payload ends early.
     */
    boolean hasNext() throws IOException {
        return unpacker.hasNext();
    }

    /**
     * Reads a name that occurs often.
     *
     * @return The name.
     * @throws IOException If the payload ends early.
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
                                        ErrorKind.BAD_FRAME, "No name has number " + number));
    }

    /**
     * Reads a text that occurs seldom.
     *
     * @return The text.
     * @throws IOException If the payload ends early.
     */
    String text() throws IOException {
        return unpacker.unpackString();
    }

    /**
     * Reads bytes.
     *
     * @return The bytes, read-only.
     * @throws IOException If the payload ends early.
     */
    ByteBuffer bytes() throws IOException {
        byte[] bytes = unpacker.readPayload(unpacker.unpackBinaryHeader());
        return ByteBuffer.wrap(bytes).asReadOnlyBuffer();
    }

    /**
     * Reads a whole number.
     *
     * @return The number.
     * @throws IOException If the payload ends early.
     */
    long number() throws IOException {
        return unpacker.unpackLong();
    }

    /**
     * Reads a whole number that must be small.
     *
     * @return The number.
     * @throws IOException If the payload ends early.
     */
    int intNumber() throws IOException {
        return unpacker.unpackInt();
    }

    /**
     * Reads a truth value.
     *
     * @return The value.
     * @throws IOException If the payload ends early.
     */
    boolean flag() throws IOException {
        return unpacker.unpackBoolean();
    }

    /**
     * Reads an amount of service.
     *
     * @return The amount in units.
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
     * @return The list.
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
