package org.martenwell.balance;

import java.util.List;
import org.martenwell.message.PeerMessage;

/**
 * The processor time that a gateway can spare, and its latest samples of the speed of targets. Sent
 * only while all gateways of the fleet know the message.
 *
 * @param gateway The gateway's name.
 * @param spareMillis The processor time that it could use for requests of peers, in milliseconds
 *     per second; 0 if it accepts none.
 * @param speeds The samples since its last notice.
 */
public record CapacityNotice(String gateway, int spareMillis, List<TargetSpeedReport> speeds)
        implements PeerMessage {}
