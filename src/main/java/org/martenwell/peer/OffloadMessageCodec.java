package org.martenwell.peer;

import java.io.IOException;
import java.util.List;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/**
 * Encodes and decodes messages on offloaded requests. The order of the fields is part of the
 * protocol. Names of headers are spelled out, since callers choose them and could fill the table of
 * names.
 */
final class OffloadMessageCodec {

    private OffloadMessageCodec() {}

    /**
     * Encodes a request.
     *
     * @param message The request.
     * @param writer Receives the fields.
     * @throws IOException Never; the buffer is in memory.
     */
    static void write(OffloadedRequest message, FieldWriter writer) throws IOException {
        writer.name(message.sender());
        writer.number(message.id());
        writer.number(message.configurationVersion());
        writer.number(message.heldMillis());
        writer.text(message.method());
        writer.text(message.target());
        write(message.headers(), writer);
        writer.bytes(message.body());
        writer.flag(message.keepAlive());
        writer.flag(message.chunksAllowed());
    }

    /**
     * Decodes a request.
     *
     * @param reader Provides the fields.
     * @return The request.
     * @throws IOException If the payload ends early.
     */
    static OffloadedRequest readRequest(FieldReader reader) throws IOException {
        return new OffloadedRequest(
                reader.name(),
                reader.number(),
                reader.number(),
                reader.number(),
                reader.text(),
                reader.text(),
                reader.list(OffloadMessageCodec::readHeader),
                reader.bytes(),
                reader.flag(),
                reader.flag());
    }

    /**
     * Encodes parts of responses.
     *
     * @param message The parts.
     * @param writer Receives the fields.
     * @throws IOException Never; the buffer is in memory.
     */
    static void write(OffloadedResponse message, FieldWriter writer) throws IOException {
        writer.name(message.sender());
        writer.count(message.parts().size());
        for (ResponsePart each : message.parts()) {
            writer.number(each.id());
            writer.number(each.kind().number());
            writer.number(each.value());
            write(each.headers(), writer);
            writer.bytes(each.body());
        }
    }

    /**
     * Decodes parts of responses.
     *
     * @param reader Provides the fields.
     * @return The parts.
     * @throws IOException If the payload ends early.
     */
    static OffloadedResponse readResponse(FieldReader reader) throws IOException {
        return new OffloadedResponse(
                reader.name(),
                reader.list(
                        each ->
                                new ResponsePart(
                                        each.number(),
                                        readKind(each),
                                        each.intNumber(),
                                        each.list(OffloadMessageCodec::readHeader),
                                        each.bytes())));
    }

    /**
     * Encodes a cancellation.
     *
     * @param message The cancellation.
     * @param writer Receives the fields.
     * @throws IOException Never; the buffer is in memory.
     */
    static void write(OffloadedRequestCancelled message, FieldWriter writer) throws IOException {
        writer.name(message.sender());
        writer.number(message.id());
    }

    /**
     * Decodes a cancellation.
     *
     * @param reader Provides the fields.
     * @return The cancellation.
     * @throws IOException If the payload ends early.
     */
    static OffloadedRequestCancelled readCancelled(FieldReader reader) throws IOException {
        return new OffloadedRequestCancelled(reader.name(), reader.number());
    }

    /**
     * Encodes a notice of progress.
     *
     * @param message The notice.
     * @param writer Receives the fields.
     * @throws IOException Never; the buffer is in memory.
     */
    static void write(OffloadedResponseReceived message, FieldWriter writer) throws IOException {
        writer.name(message.sender());
        writer.number(message.id());
        writer.number(message.bytes());
    }

    /**
     * Decodes a notice of progress.
     *
     * @param reader Provides the fields.
     * @return The notice.
     * @throws IOException If the payload ends early.
     */
    static OffloadedResponseReceived readReceived(FieldReader reader) throws IOException {
        return new OffloadedResponseReceived(reader.name(), reader.number(), reader.number());
    }

    private static void write(List<HeaderField> headers, FieldWriter writer) throws IOException {
        writer.count(headers.size());
        for (HeaderField each : headers) {
            writer.text(each.name());
            writer.text(each.value());
        }
    }

    private static HeaderField readHeader(FieldReader reader) throws IOException {
        return new HeaderField(reader.text(), reader.text());
    }

    private static ResponsePartKind readKind(FieldReader reader) throws IOException {
        int number = reader.intNumber();
        return ResponsePartKind.of(number)
                .orElseThrow(
                        () ->
                                MartenwellException.of(
                                        ErrorKind.BAD_FRAME, "Unknown kind of part " + number));
    }
}
