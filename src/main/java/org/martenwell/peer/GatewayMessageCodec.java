package org.martenwell.peer;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.martenwell.balance.CachedPartUpdate;
import org.martenwell.balance.CapacityNotice;
import org.martenwell.balance.GatewayReport;
import org.martenwell.balance.LoadSums;
import org.martenwell.balance.ReportBatch;
import org.martenwell.balance.TargetLoadReport;
import org.martenwell.balance.TargetSpeedReport;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.QuarantineUpdate;
import org.martenwell.quarantine.QuarantineUpdateKind;
import org.martenwell.share.ShareCounts;
import org.martenwell.share.ShareSums;

/**
 * Encodes and decodes messages between gateways. The order of the fields is part of the protocol.
 */
final class GatewayMessageCodec {

    private GatewayMessageCodec() {}

    /**
     * Encodes a report.
     *
     * @param message The report.
     * @param writer Receives the fields.
     * @throws IOException Never; the buffer is in memory.
     */
    static void write(GatewayReport message, FieldWriter writer) throws IOException {
        writer.name(message.gateway());
        writer.number(message.incarnation());
        writer.number(message.configurationVersion());
        writer.count(message.loads().size());
        for (TargetLoadReport each : message.loads()) {
            writer.name(each.target());
            writer.number(each.sums().requests());
            writer.number(each.sums().prefillTokens());
            writer.number(each.sums().memoryTokens());
        }
        write(message.shares(), writer);
        writer.count(message.cacheUpdates().size());
        for (CachedPartUpdate each : message.cacheUpdates()) {
            writer.name(each.target());
            writer.number(each.key());
            writer.number(each.tokens());
        }
        writer.count(message.drainingTargets().size());
        for (String each : message.drainingTargets()) {
            writer.name(each);
        }
        writer.count(message.quarantine().size());
        for (QuarantineUpdate each : message.quarantine()) {
            write(each, writer);
        }
    }

    private static void write(QuarantineUpdate update, FieldWriter writer) throws IOException {
        writer.number(update.fingerprint().scope());
        writer.number(update.fingerprint().content());
        writer.number(update.kind().number());
        writer.text(update.incarnation());
    }

    private static QuarantineUpdate readQuarantineUpdate(FieldReader reader) throws IOException {
        Fingerprint fingerprint = new Fingerprint(reader.number(), reader.number());
        return new QuarantineUpdate(
                fingerprint, QuarantineUpdateKind.of(reader.intNumber()), reader.text());
    }

    private static void write(ShareCounts shares, FieldWriter writer) throws IOException {
        writer.number(shares.countedMillis());
        writer.count(shares.sums().size());
        for (Map.Entry<String, ShareSums> each : shares.sums().entrySet()) {
            writer.name(each.getKey());
            writer.number(Math.round(each.getValue().requested()));
            writer.number(Math.round(each.getValue().sent()));
            writer.number(Math.round(each.getValue().withinShare()));
        }
    }

    /**
     * Encodes a capacity notice.
     *
     * @param message The notice.
     * @param writer Receives the fields.
     * @throws IOException Never; the buffer is in memory.
     */
    static void write(CapacityNotice message, FieldWriter writer) throws IOException {
        writer.name(message.gateway());
        writer.number(message.spareMillis());
        writer.count(message.speeds().size());
        for (TargetSpeedReport each : message.speeds()) {
            writer.name(each.target());
            writer.number(each.samples());
            writer.number(each.logSumThousandths());
        }
    }

    /**
     * Decodes a capacity notice.
     *
     * @param reader Provides the fields.
     * @return The notice.
     * @throws IOException If the payload ends early.
     */
    static CapacityNotice readCapacity(FieldReader reader) throws IOException {
        return new CapacityNotice(
                reader.name(),
                reader.intNumber(),
                reader.list(
                        each ->
                                new TargetSpeedReport(
                                        each.name(), each.intNumber(), each.number())));
    }

    /**
     * Encodes a batch of reports.
     *
     * @param message The batch.
     * @param writer Receives the fields.
     * @throws IOException Never; the buffer is in memory.
     */
    static void write(ReportBatch message, FieldWriter writer) throws IOException {
        writer.name(message.relay());
        writer.flag(message.forwarded());
        writer.bytes(message.encodedReports());
    }

    /**
     * Decodes a batch of reports.
     *
     * @param reader Provides the fields.
     * @return The batch.
     * @throws IOException If the payload ends early.
     */
    static ReportBatch readBatch(FieldReader reader) throws IOException {
        return new ReportBatch(reader.name(), reader.flag(), reader.bytes());
    }

    /**
     * Decodes a report.
     *
     * @param reader Provides the fields.
     * @return The report.
     * @throws IOException If the payload ends early.
     */
    static GatewayReport readReport(FieldReader reader) throws IOException {
        return new GatewayReport(
                reader.name(),
                reader.number(),
                reader.number(),
                reader.list(each -> new TargetLoadReport(each.name(), readSums(each))),
                readShares(reader),
                reader.list(
                        each -> new CachedPartUpdate(each.name(), each.number(), each.number())),
                reader.list(FieldReader::name),
                reader.list(GatewayMessageCodec::readQuarantineUpdate));
    }

    private static LoadSums readSums(FieldReader reader) throws IOException {
        return new LoadSums(reader.intNumber(), reader.number(), reader.number());
    }

    private static ShareCounts readShares(FieldReader reader) throws IOException {
        long countedMillis = reader.number();
        Map<String, ShareSums> sums = new HashMap<>();
        for (Map.Entry<String, ShareSums> each :
                reader.list(GatewayMessageCodec::readSharesEntry)) {
            sums.put(each.getKey(), each.getValue());
        }
        return new ShareCounts(countedMillis, sums);
    }

    private static Map.Entry<String, ShareSums> readSharesEntry(FieldReader reader)
            throws IOException {
        return Map.entry(
                reader.name(), new ShareSums(reader.number(), reader.number(), reader.number()));
    }
}
