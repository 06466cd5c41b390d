package org.martenwell.peer;

import java.io.IOException;
import org.martenwell.balance.GatewayReport;
import org.martenwell.balance.LoadSums;
import org.martenwell.balance.OrganisationReport;
import org.martenwell.balance.PlacedPart;
import org.martenwell.balance.ReportBatch;
import org.martenwell.balance.TargetLoadReport;
import org.martenwell.share.ShareSums;

/** The forms of messages between gateways. */
final class GatewayForms {

    /** Not instantiated. */
    private GatewayForms() {}

    /**
     * Writes a report.
     *
     * @param message The message.
     * @param writer Receives it.
     * @throws IOException Never for a buffer in memory.
     */
    static void write(GatewayReport message, FieldWriter writer) throws IOException {
        writer.name(message.gateway());
        writer.number(message.incarnation());
        writer.number(message.configurationVersion());
        writer.count(message.loads().size());
        for (TargetLoadReport each : message.loads()) {
            writer.name(each.target());
            writer.number(each.sums().requests());
            writer.number(each.sums().unreadTokens());
            writer.number(each.sums().memoryTokens());
        }
        writer.count(message.shares().size());
        for (OrganisationReport each : message.shares()) {
            writer.name(each.organisation());
            writer.number(Math.round(each.sums().asked()));
            writer.number(Math.round(each.sums().begun()));
        }
        writer.count(message.placed().size());
        for (PlacedPart each : message.placed()) {
            writer.name(each.target());
            writer.number(each.key());
            writer.number(each.tokens());
        }
        writer.count(message.leaving().size());
        for (String each : message.leaving()) {
            writer.name(each);
        }
    }

    /**
     * Writes a batch of reports.
     *
     * @param message The message.
     * @param writer Receives it.
     * @throws IOException Never for a buffer in memory.
     */
    static void write(ReportBatch message, FieldWriter writer) throws IOException {
        writer.name(message.relay());
        writer.flag(message.passedOn());
        writer.bytes(message.form());
    }

    /**
     * Reads a batch of reports.
     *
     * @param reader Gives it.
     * @return The message.
     * @throws IOException If it ends early.
     */
    static ReportBatch readBatch(FieldReader reader) throws IOException {
        return new ReportBatch(reader.name(), reader.flag(), reader.bytes());
    }

    /**
     * Reads a report.
     *
     * @param reader Gives it.
     * @return The message.
     * @throws IOException If it ends early.
     */
    static GatewayReport readReport(FieldReader reader) throws IOException {
        return new GatewayReport(
                reader.name(),
                reader.number(),
                reader.number(),
                reader.list(each -> new TargetLoadReport(each.name(), readSums(each))),
                reader.list(each -> new OrganisationReport(each.name(), readShares(each))),
                reader.list(each -> new PlacedPart(each.name(), each.number(), each.number())),
                reader.list(FieldReader::name));
    }

    /**
     * Reads what requests put on a target.
     *
     * @param reader Gives it.
     * @return The sums.
     * @throws IOException If they end early.
     */
    private static LoadSums readSums(FieldReader reader) throws IOException {
        return new LoadSums(reader.smallNumber(), reader.number(), reader.number());
    }

    /**
     * Reads what an organisation asked and got.
     *
     * @param reader Gives it.
     * @return The sums.
     * @throws IOException If they end early.
     */
    private static ShareSums readShares(FieldReader reader) throws IOException {
        return new ShareSums(reader.number(), reader.number());
    }
}
