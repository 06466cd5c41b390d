package org.martenwell.peer;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.martenwell.balance.GatewayReport;
import org.martenwell.balance.ReportBatch;
import org.martenwell.message.PeerMessage;

/** Makes and reads batches of reports. A batch names its names itself, so any peer can read it. */
public final class ReportBatches {

    /** Not instantiated. */
    private ReportBatches() {}

    /**
     * Makes a batch.
     *
     * @param relay The name of the gateway that gathered the reports.
     * @param reports The reports.
     * @return The batch.
     */
    public static ReportBatch of(String relay, Collection<GatewayReport> reports) {
        MessageWriter writer = new MessageWriter();
        ByteArrayOutputStream form = new ByteArrayOutputStream();
        reports.forEach(each -> form.writeBytes(writer.write(each)));
        return new ReportBatch(
                relay, false, ByteBuffer.wrap(form.toByteArray()).asReadOnlyBuffer());
    }

    /**
     * Reads a batch.
     *
     * @param batch The batch.
     * @return Its reports.
     */
    public static List<GatewayReport> reports(ReportBatch batch) {
        byte[] form = new byte[batch.form().remaining()];
        batch.form().duplicate().get(form);
        List<GatewayReport> reports = new ArrayList<>();
        for (PeerMessage each : new MessageReader().read(form)) {
            if (each instanceof GatewayReport report) {
                reports.add(report);
            }
        }
        return reports;
    }
}
