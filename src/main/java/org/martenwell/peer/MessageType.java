package org.martenwell.peer;

import java.io.IOException;
import java.util.Locale;
import java.util.Optional;
import org.martenwell.member.Heartbeat;
import org.martenwell.message.PeerMessage;
import org.martenwell.schedule.ServiceReport;
import org.martenwell.schedule.SlotGrants;
import org.martenwell.schedule.SlotReport;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** The kinds of messages between routers, each with its form in MessagePack. */
enum MessageType {

    /** A {@link Heartbeat}. */
    HEARTBEAT(1, Heartbeat.class) {
        @Override
        void write(PeerMessage message, MessagePacker packer) throws IOException {
            MembershipForms.write((Heartbeat) message, packer);
        }

        @Override
        PeerMessage read(MessageUnpacker unpacker) throws IOException {
            return MembershipForms.readHeartbeat(unpacker);
        }
    },

    /** A {@link ServiceReport}. */
    SERVICE_REPORT(2, ServiceReport.class) {
        @Override
        void write(PeerMessage message, MessagePacker packer) throws IOException {
            ScheduleForms.write((ServiceReport) message, packer);
        }

        @Override
        PeerMessage read(MessageUnpacker unpacker) throws IOException {
            return ScheduleForms.readServiceReport(unpacker);
        }
    },

    /** A {@link SlotReport}. */
    SLOT_REPORT(3, SlotReport.class) {
        @Override
        void write(PeerMessage message, MessagePacker packer) throws IOException {
            ScheduleForms.write((SlotReport) message, packer);
        }

        @Override
        PeerMessage read(MessageUnpacker unpacker) throws IOException {
            return ScheduleForms.readSlotReport(unpacker);
        }
    },

    /** A {@link SlotGrants}. */
    SLOT_GRANTS(4, SlotGrants.class) {
        @Override
        void write(PeerMessage message, MessagePacker packer) throws IOException {
            ScheduleForms.write((SlotGrants) message, packer);
        }

        @Override
        PeerMessage read(MessageUnpacker unpacker) throws IOException {
            return ScheduleForms.readSlotGrants(unpacker);
        }
    },

    /** A {@link ConfigurationRequest}. */
    CONFIGURATION_REQUEST(5, ConfigurationRequest.class) {
        @Override
        void write(PeerMessage message, MessagePacker packer) throws IOException {
            MembershipForms.write((ConfigurationRequest) message, packer);
        }

        @Override
        PeerMessage read(MessageUnpacker unpacker) throws IOException {
            return MembershipForms.readConfigurationRequest(unpacker);
        }
    },

    /** A {@link ConfigurationAnswer}. */
    CONFIGURATION_ANSWER(6, ConfigurationAnswer.class) {
        @Override
        void write(PeerMessage message, MessagePacker packer) throws IOException {
            MembershipForms.write((ConfigurationAnswer) message, packer);
        }

        @Override
        PeerMessage read(MessageUnpacker unpacker) throws IOException {
            return MembershipForms.readConfigurationAnswer(unpacker);
        }
    },

    /** A {@link TargetNotice}. */
    TARGET_NOTICE(7, TargetNotice.class) {
        @Override
        void write(PeerMessage message, MessagePacker packer) throws IOException {
            MembershipForms.write((TargetNotice) message, packer);
        }

        @Override
        PeerMessage read(MessageUnpacker unpacker) throws IOException {
            return MembershipForms.readTargetNotice(unpacker);
        }
    };

    /** The number that stands first in a message. */
    private final int number;

    /** The type of the messages. */
    private final Class<? extends PeerMessage> type;

    /**
     * Creates a kind.
     *
     * @param number The number that stands first in a message.
     * @param type The type of the messages.
     */
    MessageType(int number, Class<? extends PeerMessage> type) {
        this.number = number;
        this.type = type;
    }

    /**
     * Returns the number that stands first in a message.
     *
     * @return The number.
     */
    int number() {
        return number;
    }

    /**
     * Returns the word used in metrics.
     *
     * @return The constant's name in lower case.
     */
    String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Finds the kind of a message.
     *
     * @param message The message.
     * @return The kind.
     */
    static MessageType of(PeerMessage message) {
        for (MessageType each : values()) {
            if (each.type.isInstance(message)) {
                return each;
            }
        }
        throw new IllegalArgumentException("No form for " + message.getClass());
    }

    /**
     * Finds the kind with a number.
     *
     * @param number The number.
     * @return The kind or empty if the number is unknown.
     */
    static Optional<MessageType> of(int number) {
        for (MessageType each : values()) {
            if (each.number == number) {
                return Optional.of(each);
            }
        }
        return Optional.empty();
    }

    /**
     * Writes a message of this kind.
     *
     * @param message The message.
     * @param packer Receives it.
     * @throws IOException Never for a buffer in memory.
     */
    abstract void write(PeerMessage message, MessagePacker packer) throws IOException;

    /**
     * Reads a message of this kind.
     *
     * @param unpacker Gives it.
     * @return The message.
     * @throws IOException If it ends early.
     */
    abstract PeerMessage read(MessageUnpacker unpacker) throws IOException;
}
