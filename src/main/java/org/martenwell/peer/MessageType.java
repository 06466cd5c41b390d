package org.martenwell.peer;

import java.io.IOException;
import java.util.Locale;
import java.util.Optional;
import org.martenwell.balance.CapacityNotice;
import org.martenwell.balance.GatewayReport;
import org.martenwell.balance.ReportBatch;
import org.martenwell.member.Heartbeat;
import org.martenwell.message.PeerMessage;
import org.martenwell.schedule.ServiceReport;
import org.martenwell.schedule.SlotGrants;
import org.martenwell.schedule.SlotReport;

/**
 * Type of a message between peers, with its encoding. The names of the constants appear in metrics,
 * and their numbers are part of the protocol.
 */
enum MessageType {

    /** State of a router in the membership, sent periodically. */
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

    /** Service that organisations received through a router. */
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

    /** Demand of a router for slots, and the slots it holds. */
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

    /** Slots that a coordinator grants to a router. */
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

    /** Request for a peer's configuration. */
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

    /** Response with a configuration. */
    CONFIGURATION_ANSWER(6, ConfigurationResponse.class) {
        @Override
        void write(PeerMessage message, FieldWriter writer) throws IOException {
            MembershipMessageCodec.write((ConfigurationResponse) message, writer);
        }

        @Override
        PeerMessage read(FieldReader reader) throws IOException {
            return MembershipMessageCodec.readConfigurationResponse(reader);
        }
    },

    /** Notice that a target started or stopped accepting requests. */
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

    /** Load and state of a gateway. */
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

    /** Reports of several gateways, collected by a relay. */
    REPORT_BATCH(9, ReportBatch.class) {
        @Override
        void write(PeerMessage message, FieldWriter writer) throws IOException {
            GatewayMessageCodec.write((ReportBatch) message, writer);
        }

        @Override
        PeerMessage read(FieldReader reader) throws IOException {
            return GatewayMessageCodec.readBatch(reader);
        }
    },

    /** Versions at which streams began. */
    STREAM_ORIGIN_NOTICE(10, StreamOriginNotice.class) {
        @Override
        void write(PeerMessage message, FieldWriter writer) throws IOException {
            VersionMessageCodec.write((StreamOriginNotice) message, writer);
        }

        @Override
        PeerMessage read(FieldReader reader) throws IOException {
            return VersionMessageCodec.readOriginNotice(reader);
        }
    },

    /** Request for the versions at which streams began. */
    STREAM_ORIGIN_REQUEST(11, StreamOriginRequest.class) {
        @Override
        void write(PeerMessage message, FieldWriter writer) throws IOException {
            VersionMessageCodec.write((StreamOriginRequest) message, writer);
        }

        @Override
        PeerMessage read(FieldReader reader) throws IOException {
            return VersionMessageCodec.readOriginRequest(reader);
        }
    },

    /** Versions that the directory listed of late. */
    VERSION_NOTICE(12, VersionNotice.class) {
        @Override
        void write(PeerMessage message, FieldWriter writer) throws IOException {
            VersionMessageCodec.write((VersionNotice) message, writer);
        }

        @Override
        PeerMessage read(FieldReader reader) throws IOException {
            return VersionMessageCodec.readVersionNotice(reader);
        }
    },

    /** Streams whose versions a gateway doesn't know. */
    STREAM_ORIGIN_DENIAL(13, StreamOriginDenial.class) {
        @Override
        void write(PeerMessage message, FieldWriter writer) throws IOException {
            VersionMessageCodec.write((StreamOriginDenial) message, writer);
        }

        @Override
        PeerMessage read(FieldReader reader) throws IOException {
            return VersionMessageCodec.readOriginDenial(reader);
        }
    },

    /** End of the stream origins that a gateway sends to a peer that has connected. */
    STREAM_ORIGINS_SENT(14, StreamOriginsSent.class) {
        @Override
        void write(PeerMessage message, FieldWriter writer) throws IOException {
            VersionMessageCodec.write((StreamOriginsSent) message, writer);
        }

        @Override
        PeerMessage read(FieldReader reader) throws IOException {
            return VersionMessageCodec.readOriginsSent(reader);
        }
    },

    /** Versions that the directory holds a record of. */
    VERSION_RECORD_NOTICE(15, VersionRecordNotice.class) {
        @Override
        void write(PeerMessage message, FieldWriter writer) throws IOException {
            VersionMessageCodec.write((VersionRecordNotice) message, writer);
        }

        @Override
        PeerMessage read(FieldReader reader) throws IOException {
            return VersionMessageCodec.readRecordNotice(reader);
        }
    },

    /** A request that a gateway lets another one handle. */
    OFFLOADED_REQUEST(16, OffloadedRequest.class) {
        @Override
        void write(PeerMessage message, FieldWriter writer) throws IOException {
            OffloadMessageCodec.write((OffloadedRequest) message, writer);
        }

        @Override
        PeerMessage read(FieldReader reader) throws IOException {
            return OffloadMessageCodec.readRequest(reader);
        }
    },

    /** Parts of the responses to offloaded requests. */
    OFFLOADED_RESPONSE(17, OffloadedResponse.class) {
        @Override
        void write(PeerMessage message, FieldWriter writer) throws IOException {
            OffloadMessageCodec.write((OffloadedResponse) message, writer);
        }

        @Override
        PeerMessage read(FieldReader reader) throws IOException {
            return OffloadMessageCodec.readResponse(reader);
        }
    },

    /** Notice that the caller of an offloaded request has disconnected. */
    OFFLOADED_REQUEST_CANCELLED(18, OffloadedRequestCancelled.class) {
        @Override
        void write(PeerMessage message, FieldWriter writer) throws IOException {
            OffloadMessageCodec.write((OffloadedRequestCancelled) message, writer);
        }

        @Override
        PeerMessage read(FieldReader reader) throws IOException {
            return OffloadMessageCodec.readCancelled(reader);
        }
    },

    /** Notice of how much of a response has been written to its caller. */
    OFFLOADED_RESPONSE_RECEIVED(19, OffloadedResponseReceived.class) {
        @Override
        void write(PeerMessage message, FieldWriter writer) throws IOException {
            OffloadMessageCodec.write((OffloadedResponseReceived) message, writer);
        }

        @Override
        PeerMessage read(FieldReader reader) throws IOException {
            return OffloadMessageCodec.readReceived(reader);
        }
    },

    /** Spare processor time of a gateway and speeds of targets. */
    CAPACITY_NOTICE(20, CapacityNotice.class) {
        @Override
        void write(PeerMessage message, FieldWriter writer) throws IOException {
            GatewayMessageCodec.write((CapacityNotice) message, writer);
        }

        @Override
        PeerMessage read(FieldReader reader) throws IOException {
            return GatewayMessageCodec.readCapacity(reader);
        }
    };

    private final int number;

    private final Class<? extends PeerMessage> type;

    /**
     * Creates a type.
     *
     * @param number The number that identifies the type in the protocol.
     * @param type The class of the messages.
     */
    MessageType(int number, Class<? extends PeerMessage> type) {
        this.number = number;
        this.type = type;
    }

    /** {@return the number that identifies the type in the protocol} */
    int number() {
        return number;
    }

    /** {@return the label of the type in metrics, which is the constant's name in lower case} */
    String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the type of a message.
     *
     * @param message The message.
     * @return The type.
     * @throws IllegalArgumentException If the message's class has no type.
     */
    static MessageType of(PeerMessage message) {
        for (MessageType each : values()) {
            if (each.type.isInstance(message)) {
                return each;
            }
        }
        throw new IllegalArgumentException("No message type for " + message.getClass());
    }

    /**
     * Returns the type with a number.
     *
     * @param number The number.
     * @return The type, or empty if the number is unknown.
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
     * Encodes a message.
     *
     * @param message The message, which must be of this type.
     * @param writer Receives the fields.
     * @throws IOException Never; the buffer is in memory.
     */
    abstract void write(PeerMessage message, FieldWriter writer) throws IOException;

    /**
     * Decodes a message of this type.
     *
     * @param reader Provides the fields.
     * @return The message.
     * @throws IOException If the payload ends early.
     */
    abstract PeerMessage read(FieldReader reader) throws IOException;
}
