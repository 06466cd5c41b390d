package org.martenwell.gateway;

import io.activej.reactor.nio.NioReactor;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Clock;
import org.martenwell.balance.Availability;
import org.martenwell.balance.NoticeSource;
import org.martenwell.balance.TargetLoad;

/** Takes in what answers say of the targets that made them. */
final class AnswerNotices {

    /** The loop, for the time. */
    private final NioReactor reactor;

    /** Reads answers. */
    private final RequestDialect dialect;

    /** Counts and logs. */
    private final GatewayLog log;

    /** The time of day, for dates that answers hold. */
    private final Clock clock;

    /**
     * Creates an intake.
     *
     * @param reactor The loop, for the time.
     * @param dialect Reads answers.
     * @param log Counts and logs.
     * @param clock The time of day, for dates that answers hold.
     */
    AnswerNotices(NioReactor reactor, RequestDialect dialect, GatewayLog log, Clock clock) {
        this.reactor = reactor;
        this.dialect = dialect;
        this.log = log;
        this.clock = clock;
    }

    /**
     * Takes in an answer.
     *
     * @param from The target that made it.
     * @param answer Its head.
     */
    void heard(TargetLoad from, HttpResponse answer) {
        AnswerNotice notice = dialect.notice(answer, clock.millis());
        Availability availability = from.availability();
        long now = reactor.currentTimeMillis();
        if (notice.leaving() && availability.leave(NoticeSource.ANSWER, now)) {
            log.leaving(from.target().life(), NoticeSource.ANSWER);
        }
        if (notice.restMillis() > 0 && availability.rest(notice.restMillis(), now)) {
            log.resting(from.target().life(), notice.restMillis());
        }
    }
}
