package org.martenwell.balance;

import java.util.List;
import org.martenwell.message.PeerMessage;
import org.martenwell.quarantine.QuarantineUpdate;
import org.martenwell.share.ShareCounts;

/**
 * What a gateway tells its peers some times a second. Loads and shares are whole, so that a lost
 * report does no harm; placed parts are those since the last report. Shares change slowly and may
 * be left out; none means that nothing is told of them.
 *
 * @param gateway The gateway's name.
 * @param incarnation A number that is different after each start.
 * @param configurationVersion The version in force there.
 * @param loads What it put on targets; targets without any of its requests are left out.
 * @param shares What organisations asked and got there.
 * @param placed The parts of prompts that targets keep since its last report.
 * @param leaving The lives of targets that it knows to be leaving or gone.
 * @param quarantine What speaks against requests under which targets ended, as learnt there lately;
 *     all of it in the first report on a connection.
 */
public record GatewayReport(
        String gateway,
        long incarnation,
        long configurationVersion,
        List<TargetLoadReport> loads,
        ShareCounts shares,
        List<PlacedPart> placed,
        List<String> leaving,
        List<QuarantineUpdate> quarantine)
        implements PeerMessage {}
