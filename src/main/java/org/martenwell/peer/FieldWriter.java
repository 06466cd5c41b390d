package org.martenwell.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Writes the fields of messages in MessagePack. A name is written out once over a connection and as
 * a number from then on.
 */
final class FieldWriter {

    /** The names written so far. */
    private final NameTable names = new NameTable();

    /** Receives the fields. */
    private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

    /** Creates a writer for a new connection. */
    FieldWriter() {}

    /**
     * Writes a name that occurs often.
     *
     * @param name The name.
     * @throws IOException Never for a buffer in memory.
     */
    void name(String name) throws IOException {
        int number = names.number(name);
        if (number >= 0) {
            packer.packInt(number);
        } else {
            names.add(name);
            packer.packString(name);
        }
    }

    /**
     * Writes a text that occurs seldom.
     *
     * @param text The text.
     * @throws IOException Never for a buffer in memory.
     */
    void text(String text) throws IOException {
        packer.packString(text);
    }

    /**
     * Writes bytes.
     *
     * @param bytes The bytes.
     * @throws IOException Never for a buffer in memory.
     */
    void bytes(ByteBuffer bytes) throws IOException {
        byte[] copy = new byte[bytes.remaining()];
        bytes.duplicate().get(copy);
        packer.packBinaryHeader(copy.length);
        packer.writePayload(copy);
    }

    /**
     * Writes a whole number.
     *
     * @param number The number.
     * @throws IOException Never for a buffer in memory.
     */
    void number(long number) throws IOException {
        packer.packLong(number);
    }

    /**
     * Writes a truth value.
     *
     * @param value The value.
     * @throws IOException Never for a buffer in memory.
     */
    void flag(boolean value) throws IOException {
        packer.packBoolean(value);
    }

    /**
     * Writes how many items follow.
     *
     * @param count The number of items.
     * @throws IOException Never for a buffer in memory.
     */
    void count(int count) throws IOException {
        packer.packArrayHeader(count);
    }

    /**
     * Writes an amount of service, rounded to whole thousandths of a unit.
     *
     * @param units The amount in units.
     * @throws IOException Never for a buffer in memory.
     */
    void service(double units) throws IOException {
        packer.packLong(Math.round(units * FieldReader.SERVICE_SCALE));
    }

    /**
     * Takes what was written.
     *
     * @return The bytes.
     */
    byte[] drain() {
        byte[] bytes = packer.toByteArray();
        packer.clear();
        return bytes;
    }
}
