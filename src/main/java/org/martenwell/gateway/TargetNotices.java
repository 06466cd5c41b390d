package org.martenwell.gateway;

import io.activej.reactor.nio.NioReactor;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Clock;
import org.martenwell.balance.Availability;
import org.martenwell.balance.NoticeSource;
import org.martenwell.balance.TargetLoad;

/** Takes in what becomes known of targets, above all by what their answers say of them. */
final class TargetNotices implements TargetTableListener {

    /** The loop, for the time. */
    private final NioReactor reactor;

    /** Reads answers. */
    private final RequestDialect dialect;

    /** Is told of targets that ended. */
    private final HarmfulRequests harmful;

    /** Counts and logs. */
    private final GatewayLog log;

    /** The time of day, for dates that answers hold. */
    private final Clock clock;

    /**
     * Creates an intake.
     *
     * @param reactor The loop, for the time.
     * @param dialect Reads answers.
     * @param harmful Is told of targets that ended.
     * @param log Counts and logs.
     * @param clock The time of day, for dates that answers hold.
     */
    TargetNotices(
            NioReactor reactor,
            RequestDialect dialect,
            HarmfulRequests harmful,
            GatewayLog log,
            Clock clock) {
        this.reactor = reactor;
        this.dialect = dialect;
        this.harmful = harmful;
        this.log = log;
        this.clock = clock;
    }

    @Override
    public void ended(KnownTarget target) {
        harmful.targetEnded(target);
    }

    @Override
    public void leaves(String life, NoticeSource source) {
        log.leaving(life, source);
    }

    @Override
    public void answered(TargetLoad target, HttpResponse head) {
        AnswerNotice notice = dialect.notice(head, clock.millis());
        Availability availability = target.availability();
        long now = reactor.currentTimeMillis();
        if (notice.leaving() && availability.markDraining(NoticeSource.ANSWER, now)) {
            leaves(target.target().life(), NoticeSource.ANSWER);
        }
        if (notice.restMillis() > 0 && availability.pause(notice.restMillis(), now)) {
            log.resting(target.target().life(), notice.restMillis());
        }
    }
}
