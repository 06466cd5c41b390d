package org.martenwell.peer;

import java.io.IOException;
import org.martenwell.member.Heartbeat;

/**
 * Encodes and decodes messages about membership, configuration and targets. The order of the fields
 * is part of the protocol.
 */
final class MembershipMessageCodec {

    private MembershipMessageCodec() {}

    /**
     * Encodes a heartbeat.
     *
     * @param message The heartbeat.
     * @param writer Receives the fields.
     * @throws IOException Never; the buffer is in memory.
     */
    static void write(Heartbeat message, FieldWriter writer) throws IOException {
        writer.name(message.router());
        writer.number(message.incarnation());
        writer.number(message.sequence());
        writer.name(message.address());
        writer.name(message.failureDomain());
        writer.flag(message.ready());
        writer.number(message.configurationVersion());
    }

    /**
     * Decodes a heartbeat.
     *
     * @param reader Provides the fields.
     * @return The heartbeat.
     * @throws IOException If the payload ends early.
     */
    static Heartbeat readHeartbeat(FieldReader reader) throws IOException {
        return new Heartbeat(
                reader.name(),
                reader.number(),
                reader.number(),
                reader.name(),
                reader.name(),
                reader.flag(),
                reader.number());
    }

    /**
     * Encodes a request for a configuration.
     *
     * @param message The request.
     * @param writer Receives the fields.
     * @throws IOException Never; the buffer is in memory.
     */
    static void write(ConfigurationRequest message, FieldWriter writer) throws IOException {
        writer.name(message.router());
        writer.number(message.newerThan());
    }

    /**
     * Decodes a request for a configuration.
     *
     * @param reader Provides the fields.
     * @return The request.
     * @throws IOException If the payload ends early.
     */
    static ConfigurationRequest readConfigurationRequest(FieldReader reader) throws IOException {
        return new ConfigurationRequest(reader.name(), reader.number());
    }

    /**
     * Encodes a response with a configuration.
     *
     * @param message The response.
     * @param writer Receives the fields.
     * @throws IOException Never; the buffer is in memory.
     */
    static void write(ConfigurationResponse message, FieldWriter writer) throws IOException {
        writer.number(message.version());
        writer.text(message.text());
    }

    /**
     * Decodes a response with a configuration.
     *
     * @param reader Provides the fields.
     * @return The response.
     * @throws IOException If the payload ends early.
     */
    static ConfigurationResponse readConfigurationResponse(FieldReader reader) throws IOException {
        return new ConfigurationResponse(reader.number(), reader.text());
    }

    /**
     * Encodes a notice about a target.
     *
     * @param message The notice.
     * @param writer Receives the fields.
     * @throws IOException Never; the buffer is in memory.
     */
    static void write(TargetNotice message, FieldWriter writer) throws IOException {
        writer.name(message.target());
        writer.flag(message.acceptsRequests());
    }

    /**
     * Decodes a notice about a target.
     *
     * @param reader Provides the fields.
     * @return The notice.
     * @throws IOException If the payload ends early.
     */
    static TargetNotice readTargetNotice(FieldReader reader) throws IOException {
        return new TargetNotice(reader.name(), reader.flag());
    }
}
