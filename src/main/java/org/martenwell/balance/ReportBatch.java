package org.martenwell.balance;

import java.nio.ByteBuffer;
import org.martenwell.message.PeerMessage;

/**
 * The reports of some gateways, gathered by one of them. Their form is made once and handed to many
 * peers as it is.
 *
 * @param relay The name of the gateway that gathered them.
 * @param form Their form, read-only.
 */
public record ReportBatch(String relay, ByteBuffer form) implements PeerMessage {}
