package org.martenwell.peer;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
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
     * @param relay The name of the gateway that collected the reports.
     * @param reports The reports.
     * @return The batch, not marked as forwarded.
     */
    public static ReportBatch of(String relay, Collection<GatewayReport> reports) {
        MessageWriter writer = new MessageWriter();
        ByteArrayOutputStream encoded = new ByteArrayOutputStream();
        reports.forEach(each -> encoded.writeBytes(writer.write(each)));
        return new ReportBatch(
                relay, false, ByteBuffer.wrap(encoded.toByteArray()).asReadOnlyBuffer());
    }

    /**
     * Decodes a batch.
     *
     * @param batch The batch.
     * @return The reports; other messages in the batch are ignored.
     * @throws org.martenwell.error.MartenwellException If the batch is malformed.
     */
    public static List<GatewayReport> reports(ReportBatch batch) {
        byte[] encoded = new byte[batch.encodedReports().remaining()];
        batch.encodedReports().duplicate().get(encoded);
        List<GatewayReport> reports = new ArrayList<>();
        for (PeerMessage each : new MessageReader().read(encoded)) {
            if (each instanceof GatewayReport report) {
                reports.add(report);
            }
        }
        return reports;
    }
}
