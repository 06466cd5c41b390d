package org.martenwell.peer;

import java.io.IOException;
import org.martenwell.member.Heartbeat;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** The forms of messages about membership and configuration. */
final class MembershipForms {

    /** Not instantiated. */
    private MembershipForms() {}

    /**
     * Writes a heartbeat.
     *
     * @param message The message.
     * @param packer Receives it.
     * @throws IOException Never for a buffer in memory.
     */
    static void write(Heartbeat message, MessagePacker packer) throws IOException {
        packer.packString(message.router());
        packer.packLong(message.incarnation());
        packer.packLong(message.sequence());
        packer.packString(message.address());
        packer.packString(message.failureDomain());
        packer.packBoolean(message.ready());
        packer.packLong(message.configurationVersion());
    }

    /**
     * Reads a heartbeat.
     *
     * @param unpacker Gives it.
     * @return The message.
     * @throws IOException If it ends early.
     */
    static Heartbeat readHeartbeat(MessageUnpacker unpacker) throws IOException {
        return new Heartbeat(
                unpacker.unpackString(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackBoolean(),
                unpacker.unpackLong());
    }

    /**
     * Writes a request for a configuration.
     *
     * @param message The message.
     * @param packer Receives it.
     * @throws IOException Never for a buffer in memory.
     */
    static void write(ConfigurationRequest message, MessagePacker packer) throws IOException {
        packer.packString(message.router());
        packer.packLong(message.above());
    }

    /**
     * Reads a request for a configuration.
     *
     * @param unpacker Gives it.
     * @return The message.
     * @throws IOException If it ends early.
     */
    static ConfigurationRequest readConfigurationRequest(MessageUnpacker unpacker)
            throws IOException {
        return new ConfigurationRequest(unpacker.unpackString(), unpacker.unpackLong());
    }

    /**
     * Writes a configuration.
     *
     * @param message The message.
     * @param packer Receives it.
     * @throws IOException Never for a buffer in memory.
     */
    static void write(ConfigurationAnswer message, MessagePacker packer) throws IOException {
        packer.packLong(message.version());
        packer.packString(message.text());
    }

    /**
     * Reads a configuration.
     *
     * @param unpacker Gives it.
     * @return The message.
     * @throws IOException If it ends early.
     */
    static ConfigurationAnswer readConfigurationAnswer(MessageUnpacker unpacker)
            throws IOException {
        return new ConfigurationAnswer(unpacker.unpackLong(), unpacker.unpackString());
    }

    /**
     * Writes a notice of a target.
     *
     * @param message The message.
     * @param packer Receives it.
     * @throws IOException Never for a buffer in memory.
     */
    static void write(TargetNotice message, MessagePacker packer) throws IOException {
        packer.packString(message.target());
        packer.packBoolean(message.open());
    }

    /**
     * Reads a notice of a target.
     *
     * @param unpacker Gives it.
     * @return The message.
     * @throws IOException If it ends early.
     */
    static TargetNotice readTargetNotice(MessageUnpacker unpacker) throws IOException {
        return new TargetNotice(unpacker.unpackString(), unpacker.unpackBoolean());
    }
}
