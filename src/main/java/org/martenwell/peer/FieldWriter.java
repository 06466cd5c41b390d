package org.martenwell.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Encodes the fields of messages as MessagePack. One writer serves one direction of a connection: a
 * name is spelled out when it first occurs and replaced by its number afterwards.
 */
final class FieldWriter {

    /** The names encoded so far. */
    private final NameTable names = new NameTable();

    private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

    /** Creates a writer for a new connection. */
    FieldWriter() {}

    /**
     * Writes a name, such as a target's id, that is likely to recur on this connection.
     *
     * @param name The name.
     * @throws IOException Never; the buffer is in memory.
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
     * Writes a string that is unlikely to recur.
     *
     * @param text The string.
     * @throws IOException Never; the buffer is in memory.
     */
    void text(String text) throws IOException {
        packer.packString(text);
    }

    /**
     * Writes a byte string.
     *
     * @param bytes The bytes; the buffer's position stays unchanged.
     * @throws IOException Never; the buffer is in memory.
     */
    void bytes(ByteBuffer bytes) throws IOException {
        byte[] copy = new byte[bytes.remaining()];
        bytes.duplicate().get(copy);
        packer.packBinaryHeader(copy.length);
        packer.writePayload(copy);
    }

    /**
     * Writes an integer.
     *
     * @param number The integer.
     * @throws IOException Never; the buffer is in memory.
     */
    void number(long number) throws IOException {
        packer.packLong(number);
    }

    /**
     * Writes a boolean.
     *
     * @param value The boolean.
     * @throws IOException Never; the buffer is in memory.
     */
    void flag(boolean value) throws IOException {
        packer.packBoolean(value);
    }

    /**
     * Writes the header of a list, which the caller must follow up with the items.
     *
     * @param count The number of items.
     * @throws IOException Never; the buffer is in memory.
     */
    void count(int count) throws IOException {
        packer.packArrayHeader(count);
    }

    /**
     * Writes an amount of service, rounded to thousandths of a unit.
     *
     * @param units The amount in units.
     * @throws IOException Never; the buffer is in memory.
     */
    void service(double units) throws IOException {
        packer.packLong(Math.round(units * FieldReader.SERVICE_SCALE));
    }

    /**
     * Returns the encoded fields and clears the buffer. The table of names is kept.
     *
     * @return The encoded fields.
     */
    byte[] drain() {
        byte[] bytes = packer.toByteArray();
        packer.clear();
        return bytes;
    }
}
