package org.martenwell.peer;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Collection;
import java.util.List;
import org.martenwell.balance.CapacityNotice;
import org.martenwell.balance.GatewayReport;
import org.martenwell.balance.ReportBatch;
import org.martenwell.message.PeerMessage;

/**
 * Creates and decodes batches of reports. Each batch has its own table of names, so it can be
 * forwarded to any peer unchanged.
 */
public final class ReportBatches {

    private ReportBatches() {}

    /**
     * Creates a batch.
     *
     * @param relay The name of the gateway that collected the messages.
     * @param messages The reports, and notices on targets.
     * @return The batch, not marked as forwarded.
     */
    public static ReportBatch of(String relay, Collection<? extends PeerMessage> messages) {
        MessageWriter writer = new MessageWriter();
        ByteArrayOutputStream encoded = new ByteArrayOutputStream();
        messages.forEach(each -> encoded.writeBytes(writer.write(each)));
        return new ReportBatch(
                relay, false, ByteBuffer.wrap(encoded.toByteArray()).asReadOnlyBuffer());
    }

    /**
     * Decodes a batch.
     *
     * @param batch The batch.
     * @return All messages in order.
     * @throws org.martenwell.error.MartenwellException If the batch is malformed.
     */
    public static List<PeerMessage> messages(ReportBatch batch) {
        byte[] encoded = new byte[batch.encodedReports().remaining()];
        batch.encodedReports().duplicate().get(encoded);
        return new MessageReader().read(encoded);
    }

    /**
     * Decodes the reports of a batch.
     *
     * @param batch The batch.
     * @return The reports; other messages in the batch are ignored.
     * @throws org.martenwell.error.MartenwellException If the batch is malformed.
     */
    public static List<GatewayReport> reports(ReportBatch batch) {
        return messages(batch).stream()
                .filter(GatewayReport.class::isInstance)
                .map(GatewayReport.class::cast)
                .toList();
    }

    /**
     * Returns a batch without capacity notices, for gateways that don't know that message.
     *
     * @param batch The batch.
     * @return The other messages of the batch.
     */
    public static ReportBatch withoutCapacities(ReportBatch batch) {
        List<PeerMessage> known =
                messages(batch).stream().filter(each -> !(each instanceof CapacityNotice)).toList();
        ReportBatch stripped = of(batch.relay(), known);
        return batch.forwarded() ? stripped.asForwarded() : stripped;
    }
}
