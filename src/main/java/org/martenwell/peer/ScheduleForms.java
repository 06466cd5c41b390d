package org.martenwell.peer;

import java.io.IOException;
import java.util.ArrayList;
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
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** The forms of messages about scheduling. */
final class ScheduleForms {

    /** Not instantiated. */
    private ScheduleForms() {}

    /**
     * Writes a service report. Service is rounded down to whole thousandths of a unit.
     *
     * @param message The message.
     * @param packer Receives it.
     * @throws IOException Never for a buffer in memory.
     */
    static void write(ServiceReport message, MessagePacker packer) throws IOException {
        packer.packString(message.router());
        packer.packLong(message.incarnation());
        packer.packLong(message.sequence());
        packService(packer, message.level());
        packer.packArrayHeader(message.entries().size());
        for (ServiceEntry entry : message.entries()) {
            packer.packString(entry.organisation());
            packService(packer, entry.served());
            packService(packer, entry.lift());
            packer.packInt(entry.inUse());
        }
    }

    /**
     * Reads a service report.
     *
     * @param unpacker Gives it.
     * @return The message.
     * @throws IOException If it ends early.
     */
    static ServiceReport readServiceReport(MessageUnpacker unpacker) throws IOException {
        String router = unpacker.unpackString();
        long incarnation = unpacker.unpackLong();
        long sequence = unpacker.unpackLong();
        double level = unpackService(unpacker);
        List<ServiceEntry> entries = new ArrayList<>();
        int count = unpacker.unpackArrayHeader();
        for (int index = 0; index < count; index++) {
            entries.add(
                    new ServiceEntry(
                            unpacker.unpackString(),
                            unpackService(unpacker),
                            unpackService(unpacker),
                            unpacker.unpackInt()));
        }
        return new ServiceReport(router, incarnation, sequence, level, entries);
    }

    /**
     * Writes a slot report.
     *
     * @param message The message.
     * @param packer Receives it.
     * @throws IOException Never for a buffer in memory.
     */
    static void write(SlotReport message, MessagePacker packer) throws IOException {
        packer.packString(message.router());
        packer.packLong(message.incarnation());
        packer.packLong(message.keeperIncarnation());
        packer.packLong(message.sequence());
        packer.packBoolean(message.complete());
        packer.packArrayHeader(message.demands().size());
        for (Demand demand : message.demands()) {
            packer.packBoolean(demand.pool().kind() == PoolKind.MODEL);
            packer.packString(demand.pool().name());
            packer.packString(demand.organisation());
            packer.packInt(demand.waiting());
            packer.packLong(demand.urgency());
        }
        packer.packArrayHeader(message.holdings().size());
        for (Holding holding : message.holdings()) {
            packer.packString(holding.target());
            packer.packString(holding.slotClass());
            packer.packLong(holding.seen());
            packer.packLong(holding.released());
            packer.packInt(holding.running());
            packer.packInt(holding.carried());
        }
        packer.packArrayHeader(message.failures().size());
        for (FailureCount failure : message.failures()) {
            packer.packString(failure.target());
            packer.packLong(failure.total());
        }
    }

    /**
     * Reads a slot report.
     *
     * @param unpacker Gives it.
     * @return The message.
     * @throws IOException If it ends early.
     */
    static SlotReport readSlotReport(MessageUnpacker unpacker) throws IOException {
        String router = unpacker.unpackString();
        long incarnation = unpacker.unpackLong();
        long keeperIncarnation = unpacker.unpackLong();
        long sequence = unpacker.unpackLong();
        boolean complete = unpacker.unpackBoolean();
        return new SlotReport(
                router,
                incarnation,
                keeperIncarnation,
                sequence,
                complete,
                readDemands(unpacker),
                readHoldings(unpacker),
                readFailures(unpacker));
    }

    /**
     * Writes slot grants.
     *
     * @param message The message.
     * @param packer Receives it.
     * @throws IOException Never for a buffer in memory.
     */
    static void write(SlotGrants message, MessagePacker packer) throws IOException {
        packer.packString(message.keeper());
        packer.packLong(message.incarnation());
        packer.packLong(message.routerIncarnation());
        packer.packBoolean(message.completeWanted());
        packer.packArrayHeader(message.grants().size());
        for (SlotGrant grant : message.grants()) {
            packer.packString(grant.target());
            packer.packString(grant.slotClass());
            packer.packLong(grant.total());
            packer.packBoolean(grant.recalled());
        }
    }

    /**
     * Reads slot grants.
     *
     * @param unpacker Gives it.
     * @return The message.
     * @throws IOException If it ends early.
     */
    static SlotGrants readSlotGrants(MessageUnpacker unpacker) throws IOException {
        String keeper = unpacker.unpackString();
        long incarnation = unpacker.unpackLong();
        long routerIncarnation = unpacker.unpackLong();
        boolean completeWanted = unpacker.unpackBoolean();
        List<SlotGrant> grants = new ArrayList<>();
        int count = unpacker.unpackArrayHeader();
        for (int index = 0; index < count; index++) {
            grants.add(
                    new SlotGrant(
                            unpacker.unpackString(),
                            unpacker.unpackString(),
                            unpacker.unpackLong(),
                            unpacker.unpackBoolean()));
        }
        return new SlotGrants(keeper, incarnation, routerIncarnation, completeWanted, grants);
    }

    /**
     * Reads queues.
     *
     * @param unpacker Gives them.
     * @return The queues.
     * @throws IOException If they end early.
     */
    private static List<Demand> readDemands(MessageUnpacker unpacker) throws IOException {
        List<Demand> demands = new ArrayList<>();
        int count = unpacker.unpackArrayHeader();
        for (int index = 0; index < count; index++) {
            PoolKind kind = unpacker.unpackBoolean() ? PoolKind.MODEL : PoolKind.SERVICE;
            demands.add(
                    new Demand(
                            new Pool(kind, unpacker.unpackString()),
                            unpacker.unpackString(),
                            unpacker.unpackInt(),
                            unpacker.unpackLong()));
        }
        return demands;
    }

    /**
     * Reads slots.
     *
     * @param unpacker Gives them.
     * @return The slots.
     * @throws IOException If they end early.
     */
    private static List<Holding> readHoldings(MessageUnpacker unpacker) throws IOException {
        List<Holding> holdings = new ArrayList<>();
        int count = unpacker.unpackArrayHeader();
        for (int index = 0; index < count; index++) {
            holdings.add(
                    new Holding(
                            unpacker.unpackString(),
                            unpacker.unpackString(),
                            unpacker.unpackLong(),
                            unpacker.unpackLong(),
                            unpacker.unpackInt(),
                            unpacker.unpackInt()));
        }
        return holdings;
    }

    /**
     * Reads failures.
     *
     * @param unpacker Gives them.
     * @return The failures.
     * @throws IOException If they end early.
     */
    private static List<FailureCount> readFailures(MessageUnpacker unpacker) throws IOException {
        List<FailureCount> failures = new ArrayList<>();
        int count = unpacker.unpackArrayHeader();
        for (int index = 0; index < count; index++) {
            failures.add(new FailureCount(unpacker.unpackString(), unpacker.unpackLong()));
        }
        return failures;
    }

    /**
     * Writes an amount of service in thousandths of a unit.
     *
     * @param packer Receives it.
     * @param units The amount.
     * @throws IOException Never for a buffer in memory.
     */
    private static void packService(MessagePacker packer, double units) throws IOException {
        packer.packLong((long) (units * 1000));
    }

    /**
     * Reads an amount of service.
     *
     * @param unpacker Gives it.
     * @return The amount in units.
     * @throws IOException If it ends early.
     */
    private static double unpackService(MessageUnpacker unpacker) throws IOException {
        return unpacker.unpackLong() / 1000.0;
    }
}
