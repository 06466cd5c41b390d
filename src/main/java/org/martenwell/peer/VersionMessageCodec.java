package org.martenwell.peer;

import java.io.IOException;
import org.martenwell.version.ServiceVersion;
import org.martenwell.version.StreamOrigin;
import org.martenwell.version.VersionHistory;
import org.martenwell.version.VersionSighting;

/**
 * Encodes and decodes messages on the versions of targets. The order of the fields is part of the
 * protocol.
 */
final class VersionMessageCodec {

    private VersionMessageCodec() {}

    /**
     * Encodes a notice of stream origins.
     *
     * @param message The notice.
     * @param writer Receives the fields.
     * @throws IOException Never; the buffer is in memory.
     */
    static void write(StreamOriginNotice message, FieldWriter writer) throws IOException {
        writer.name(message.sender());
        writer.name(message.recipient());
        writer.count(message.origins().size());
        for (StreamOrigin each : message.origins()) {
            writer.number(each.attempt());
            write(each.version(), writer);
        }
    }

    /**
     * Decodes a notice of stream origins.
     *
     * @param reader Provides the fields.
     * @return The notice.
     * @throws IOException If the payload ends early.
     */
    static StreamOriginNotice readOriginNotice(FieldReader reader) throws IOException {
        return new StreamOriginNotice(
                reader.name(),
                reader.name(),
                reader.list(each -> new StreamOrigin(each.number(), readVersion(each))));
    }

    /**
     * Encodes a request for stream origins.
     *
     * @param message The request.
     * @param writer Receives the fields.
     * @throws IOException Never; the buffer is in memory.
     */
    static void write(StreamOriginRequest message, FieldWriter writer) throws IOException {
        writer.name(message.asker());
        writer.count(message.attempts().size());
        for (long each : message.attempts()) {
            writer.number(each);
        }
    }

    /**
     * Decodes a request for stream origins.
     *
     * @param reader Provides the fields.
     * @return The request.
     * @throws IOException If the payload ends early.
     */
    static StreamOriginRequest readOriginRequest(FieldReader reader) throws IOException {
        return new StreamOriginRequest(reader.name(), reader.list(FieldReader::number));
    }

    /**
     * Encodes a denial.
     *
     * @param message The denial.
     * @param writer Receives the fields.
     * @throws IOException Never; the buffer is in memory.
     */
    static void write(StreamOriginDenial message, FieldWriter writer) throws IOException {
        writer.name(message.sender());
        writer.count(message.attempts().size());
        for (long each : message.attempts()) {
            writer.number(each);
        }
    }

    /**
     * Decodes a denial.
     *
     * @param reader Provides the fields.
     * @return The denial.
     * @throws IOException If the payload ends early.
     */
    static StreamOriginDenial readOriginDenial(FieldReader reader) throws IOException {
        return new StreamOriginDenial(reader.name(), reader.list(FieldReader::number));
    }

    /**
     * Encodes the statement that all origins have been sent.
     *
     * @param message The statement.
     * @param writer Receives the fields.
     * @throws IOException Never; the buffer is in memory.
     */
    static void write(StreamOriginsSent message, FieldWriter writer) throws IOException {
        writer.name(message.sender());
        writer.number(message.complete() ? 1 : 0);
    }

    /**
     * Decodes the statement that all origins have been sent.
     *
     * @param reader Provides the fields.
     * @return The statement.
     * @throws IOException If the payload ends early.
     */
    static StreamOriginsSent readOriginsSent(FieldReader reader) throws IOException {
        return new StreamOriginsSent(reader.name(), reader.number() != 0);
    }

    /**
     * Encodes a notice of listed versions.
     *
     * @param message The notice.
     * @param writer Receives the fields.
     * @throws IOException Never; the buffer is in memory.
     */
    static void write(VersionNotice message, FieldWriter writer) throws IOException {
        writer.number(message.history().coveredMillis());
        writer.count(message.history().sightings().size());
        for (VersionSighting each : message.history().sightings()) {
            write(each.version(), writer);
            writer.number(each.ageMillis());
        }
    }

    /**
     * Decodes a notice of listed versions.
     *
     * @param reader Provides the fields.
     * @return The notice.
     * @throws IOException If the payload ends early.
     */
    static VersionNotice readVersionNotice(FieldReader reader) throws IOException {
        return new VersionNotice(
                new VersionHistory(
                        reader.number(),
                        reader.list(
                                each -> new VersionSighting(readVersion(each), each.number()))));
    }

    /**
     * Encodes a notice of recorded versions.
     *
     * @param message The notice.
     * @param writer Receives the fields.
     * @throws IOException Never; the buffer is in memory.
     */
    static void write(VersionRecordNotice message, FieldWriter writer) throws IOException {
        writer.count(message.versions().size());
        for (ServiceVersion each : message.versions()) {
            write(each, writer);
        }
    }

    /**
     * Decodes a notice of recorded versions.
     *
     * @param reader Provides the fields.
     * @return The notice.
     * @throws IOException If the payload ends early.
     */
    static VersionRecordNotice readRecordNotice(FieldReader reader) throws IOException {
        return new VersionRecordNotice(reader.list(VersionMessageCodec::readVersion));
    }

    private static void write(ServiceVersion version, FieldWriter writer) throws IOException {
        writer.name(version.service());
        writer.name(version.version());
    }

    private static ServiceVersion readVersion(FieldReader reader) throws IOException {
        return new ServiceVersion(reader.name(), reader.name());
    }
}
