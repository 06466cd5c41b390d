package org.martenwell.balance;

import java.nio.ByteBuffer;
import org.martenwell.message.PeerMessage;

/**
 * A batch of gateway reports collected by a relay. It is encoded once and sent to many peers in
 * this encoding.
 *
 * @param relay The name of the relay that collected the reports.
 * @param forwarded {@code true} if a second relay has forwarded the batch, so that it is not
 *     forwarded again.
 * @param encodedReports The encoded reports, read-only.
 */
public record ReportBatch(String relay, boolean forwarded, ByteBuffer encodedReports)
        implements PeerMessage {

    /**
     * Marks the batch as forwarded.
     *
     * @return A batch with the mark and the same reports.
     */
    public ReportBatch asForwarded() {
        return new ReportBatch(relay, true, encodedReports);
    }
}
