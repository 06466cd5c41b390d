package org.martenwell.peer;

import java.io.IOException;
import org.martenwell.member.Heartbeat;

/** The forms of messages about membership and configuration. */
final class MembershipMessageCodec {

    /** Not instantiated. */
    private MembershipMessageCodec() {}

    /**
     * Writes a heartbeat.
     *
     * @param message The message.
     * @param writer Receives it.
     * @throws IOException Never for a buffer in memory.
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
     * Reads a heartbeat.
     *
     * @param reader Gives it.
     * @return The message.
     * @throws IOException If it ends early.
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
     * Writes a request for a configuration.
     *
     * @param message The message.
     * @param writer Receives it.
     * @throws IOException Never for a buffer in memory.
     */
    static void write(ConfigurationRequest message, FieldWriter writer) throws IOException {
        writer.name(message.router());
        writer.number(message.above());
    }

    /**
     * Reads a request for a configuration.
     *
     * @param reader Gives it.
     * @return The message.
     * @throws IOException If it ends early.
     */
    static ConfigurationRequest readConfigurationRequest(FieldReader reader) throws IOException {
        return new ConfigurationRequest(reader.name(), reader.number());
    }

    /**
     * Writes a configuration.
     *
     * @param message The message.
     * @param writer Receives it.
     * @throws IOException Never for a buffer in memory.
     */
    static void write(ConfigurationAnswer message, FieldWriter writer) throws IOException {
        writer.number(message.version());
        writer.text(message.text());
    }

    /**
     * Reads a configuration.
     *
     * @param reader Gives it.
     * @return The message.
     * @throws IOException If it ends early.
     */
    static ConfigurationAnswer readConfigurationAnswer(FieldReader reader) throws IOException {
        return new ConfigurationAnswer(reader.number(), reader.text());
    }

    /**
     * Writes a notice of a target.
     *
     * @param message The message.
     * @param writer Receives it.
     * @throws IOException Never for a buffer in memory.
     */
    static void write(TargetNotice message, FieldWriter writer) throws IOException {
        writer.name(message.target());
        writer.flag(message.open());
    }

    /**
     * Reads a notice of a target.
     *
     * @param reader Gives it.
     * @return The message.
     * @throws IOException If it ends early.
     */
    static TargetNotice readTargetNotice(FieldReader reader) throws IOException {
        return new TargetNotice(reader.name(), reader.flag());
    }
}
