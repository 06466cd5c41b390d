package org.martenwell.peer;

import java.io.IOException;
import java.util.Locale;
import java.util.Optional;
import org.martenwell.balance.GatewayReport;
import org.martenwell.balance.ReportBatch;
import org.martenwell.member.Heartbeat;
import org.martenwell.message.PeerMessage;
import org.martenwell.schedule.ServiceReport;
import org.martenwell.schedule.SlotGrants;
import org.martenwell.schedule.SlotReport;

/** The kinds of messages between routers, each with its form in MessagePack. */
enum MessageType {

    /** A {@link Heartbeat}. */
    HEARTBEAT(1, Heartbeat.class) {
        @Override
        void write(PeerMessage message, FieldWriter writer) throws IOException {
            MembershipMessageCodec.write((Heartbeat) message, writer);
        }

        @Override
        PeerMessage read(FieldReader reader) throws IOException {
            return MembershipMessageCodec.readHeartbeat(reader);
        }
    },

    /** A {@link ServiceReport}. */
    SERVICE_REPORT(2, ServiceReport.class) {
        @Override
        void write(PeerMessage message, FieldWriter writer) throws IOException {
            ScheduleMessageCodec.write((ServiceReport) message, writer);
        }

        @Override
        PeerMessage read(FieldReader reader) throws IOException {
            return ScheduleMessageCodec.readServiceReport(reader);
        }
    },

    /** A {@link SlotReport}. */
    SLOT_REPORT(3, SlotReport.class) {
        @Override
        void write(PeerMessage message, FieldWriter writer) throws IOException {
            ScheduleMessageCodec.write((SlotReport) message, writer);
        }

        @Override
        PeerMessage read(FieldReader reader) throws IOException {
            return ScheduleMessageCodec.readSlotReport(reader);
        }
    },

    /** A {@link SlotGrants}. */
    SLOT_GRANTS(4, SlotGrants.class) {
        @Override
        void write(PeerMessage message, FieldWriter writer) throws IOException {
            ScheduleMessageCodec.write((SlotGrants) message, writer);
        }

        @Override
        PeerMessage read(FieldReader reader) throws IOException {
            return ScheduleMessageCodec.readSlotGrants(reader);
        }
    },

    /** A {@link ConfigurationRequest}. */
    CONFIGURATION_REQUEST(5, ConfigurationRequest.class) {
        @Override
        void write(PeerMessage message, FieldWriter writer) throws IOException {
            MembershipMessageCodec.write((ConfigurationRequest) message, writer);
        }

        @Override
        PeerMessage read(FieldReader reader) throws IOException {
            return MembershipMessageCodec.readConfigurationRequest(reader);
        }
    },

    /** A {@link ConfigurationAnswer}. */
    CONFIGURATION_ANSWER(6, ConfigurationAnswer.class) {
        @Override
        void write(PeerMessage message, FieldWriter writer) throws IOException {
            MembershipMessageCodec.write((ConfigurationAnswer) message, writer);
        }

        @Override
        PeerMessage read(FieldReader reader) throws IOException {
            return MembershipMessageCodec.readConfigurationAnswer(reader);
        }
    },

    /** A {@link TargetNotice}. */
    TARGET_NOTICE(7, TargetNotice.class) {
        @Override
        void write(PeerMessage message, FieldWriter writer) throws IOException {
            MembershipMessageCodec.write((TargetNotice) message, writer);
        }

        @Override
        PeerMessage read(FieldReader reader) throws IOException {
            return MembershipMessageCodec.readTargetNotice(reader);
        }
    },

    /** A {@link GatewayReport}. */
    GATEWAY_REPORT(8, GatewayReport.class) {
        @Override
        void write(PeerMessage message, FieldWriter writer) throws IOException {
            GatewayMessageCodec.write((GatewayReport) message, writer);
        }

        @Override
        PeerMessage read(FieldReader reader) throws IOException {
            return GatewayMessageCodec.readReport(reader);
        }
    },

    /** The reports of some gateways. */
    REPORT_BATCH(9, ReportBatch.class) {
        @Override
        void write(PeerMessage message, FieldWriter writer) throws IOException {
            GatewayMessageCodec.write((ReportBatch) message, writer);
        }

        @Override
        PeerMessage read(FieldReader reader) throws IOException {
            return GatewayMessageCodec.readBatch(reader);
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
    String metricName() {
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
     * @param writer Receives it.
     * @throws IOException Never for a buffer in memory.
     */
    abstract void write(PeerMessage message, FieldWriter writer) throws IOException;

    /**
     * Reads a message of this kind.
     *
     * @param reader Gives it.
     * @return The message.
     * @throws IOException If it ends early.
     */
    abstract PeerMessage read(FieldReader reader) throws IOException;
}
