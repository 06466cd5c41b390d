package org.martenwell.peer;

import java.io.IOException;
import java.util.List;
import org.martenwell.configuration.Pool;
import org.martenwell.configuration.PoolKind;
import org.martenwell.schedule.Demand;
import org.martenwell.schedule.FailureCount;
import org.martenwell.schedule.Holding;
import org.martenwell.schedule.ServiceEntry;
import org.martenwell.schedule.ServiceReport;
import org.martenwell.schedule.SlotGrant;
import org.martenwell.schedule.SlotGrants;
import org.martenwell.schedule.SlotReport;

/**
 * Encodes and decodes messages about scheduling. The order of the fields is part of the protocol.
 */
final class ScheduleMessageCodec {

    private ScheduleMessageCodec() {}

    /**
     * Encodes a service report.
     *
     * @param message The report.
     * @param writer Receives the fields.
     * @throws IOException Never; the buffer is in memory.
     */
    static void write(ServiceReport message, FieldWriter writer) throws IOException {
        writer.name(message.router());
        writer.number(message.incarnation());
        writer.number(message.sequence());
        writer.service(message.liftLevel());
        writer.count(message.entries().size());
        for (ServiceEntry entry : message.entries()) {
            writer.name(entry.organisation());
            writer.service(entry.served());
            writer.service(entry.lift());
            writer.number(entry.inUse());
        }
    }

    /**
     * Decodes a service report.
     *
     * @param reader Provides the fields.
     * @return The report.
     * @throws IOException If the payload ends early.
     */
    static ServiceReport readServiceReport(FieldReader reader) throws IOException {
        String router = reader.name();
        long incarnation = reader.number();
        long sequence = reader.number();
        double liftLevel = reader.service();
        List<ServiceEntry> entries = reader.list(ScheduleMessageCodec::readServiceEntry);
        return new ServiceReport(router, incarnation, sequence, liftLevel, entries);
    }

    /**
     * Encodes a slot report.
     *
     * @param message The report.
     * @param writer Receives the fields.
     * @throws IOException Never; the buffer is in memory.
     */
    static void write(SlotReport message, FieldWriter writer) throws IOException {
        writer.name(message.router());
        writer.number(message.incarnation());
        writer.number(message.coordinatorIncarnation());
        writer.number(message.sequence());
        writer.flag(message.complete());
        writer.count(message.demands().size());
        for (Demand demand : message.demands()) {
            writer.flag(demand.pool().kind() == PoolKind.MODEL);
            writer.name(demand.pool().name());
            writer.name(demand.organisation());
            writer.number(demand.waiting());
            writer.number(demand.effectiveWaitMillis());
        }
        writer.count(message.holdings().size());
        for (Holding holding : message.holdings()) {
            writer.name(holding.target());
            writer.number(holding.term());
            writer.name(holding.slotClass());
            writer.number(holding.acknowledged());
            writer.number(holding.released());
            writer.number(holding.running());
            writer.number(holding.carried());
        }
        writer.count(message.failures().size());
        for (FailureCount failure : message.failures()) {
            writer.name(failure.target());
            writer.number(failure.total());
        }
    }

    /**
     * Decodes a slot report.
     *
     * @param reader Provides the fields.
     * @return The report.
     * @throws IOException If the payload ends early.
     */
    static SlotReport readSlotReport(FieldReader reader) throws IOException {
        String router = reader.name();
        long incarnation = reader.number();
        long coordinatorIncarnation = reader.number();
        long sequence = reader.number();
        boolean complete = reader.flag();
        return new SlotReport(
                router,
                incarnation,
                coordinatorIncarnation,
                sequence,
                complete,
                reader.list(ScheduleMessageCodec::readDemand),
                reader.list(ScheduleMessageCodec::readHolding),
                reader.list(ScheduleMessageCodec::readFailure));
    }

    /**
     * Encodes slot grants.
     *
     * @param message The grants.
     * @param writer Receives the fields.
     * @throws IOException Never; the buffer is in memory.
     */
    static void write(SlotGrants message, FieldWriter writer) throws IOException {
        writer.name(message.coordinator());
        writer.number(message.incarnation());
        writer.number(message.routerIncarnation());
        writer.flag(message.completeReportRequested());
        writer.count(message.grants().size());
        for (SlotGrant grant : message.grants()) {
            writer.name(grant.target());
            writer.number(grant.term());
            writer.name(grant.slotClass());
            writer.number(grant.total());
            writer.flag(grant.recalled());
        }
    }

    /**
     * Decodes slot grants.
     *
     * @param reader Provides the fields.
     * @return The grants.
     * @throws IOException If the payload ends early.
     */
    static SlotGrants readSlotGrants(FieldReader reader) throws IOException {
        String coordinator = reader.name();
        long incarnation = reader.number();
        long routerIncarnation = reader.number();
        boolean completeReportRequested = reader.flag();
        List<SlotGrant> grants = reader.list(ScheduleMessageCodec::readSlotGrant);
        return new SlotGrants(
                coordinator, incarnation, routerIncarnation, completeReportRequested, grants);
    }

    private static ServiceEntry readServiceEntry(FieldReader reader) throws IOException {
        return new ServiceEntry(
                reader.name(), reader.service(), reader.service(), reader.intNumber());
    }

    private static SlotGrant readSlotGrant(FieldReader reader) throws IOException {
        return new SlotGrant(
                reader.name(), reader.number(), reader.name(), reader.number(), reader.flag());
    }

    private static Demand readDemand(FieldReader reader) throws IOException {
        PoolKind kind = reader.flag() ? PoolKind.MODEL : PoolKind.SERVICE;
        Pool pool = new Pool(kind, reader.name());
        return new Demand(pool, reader.name(), reader.intNumber(), reader.number());
    }

    private static Holding readHolding(FieldReader reader) throws IOException {
        return new Holding(
                reader.name(),
                reader.number(),
                reader.name(),
                reader.number(),
                reader.number(),
                reader.intNumber(),
                reader.intNumber());
    }

    private static FailureCount readFailure(FieldReader reader) throws IOException {
        return new FailureCount(reader.name(), reader.number());
    }
}
