package org.martenwell.balance;

import java.nio.ByteBuffer;
import org.martenwell.message.PeerMessage;

/**
 * The reports of some gateways, gathered by one of them. Their form is made once and handed to many
 * peers as it is.
 *
 * @param relay The name of the gateway that gathered them.
 * @param passedOn Whether another relay passed the batch on, so that nobody has to any more.
 * @param form Their form, read-only.
 */
public record ReportBatch(String relay, boolean passedOn, ByteBuffer form) implements PeerMessage {

    /**
     * Marks the batch as passed on by another relay.
     *
     * @return The batch with the mark.
     */
    public ReportBatch withPassedOn() {
        return new ReportBatch(relay, true, form);
    }
}
