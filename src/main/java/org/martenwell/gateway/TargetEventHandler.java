package org.martenwell.gateway;

import io.activej.reactor.nio.NioReactor;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Clock;
import org.martenwell.balance.Availability;
import org.martenwell.balance.NoticeSource;
import org.martenwell.balance.TargetLoad;

/**
 * Updates the availability of targets from the heads of their responses, and reports crashes,
 * drains and removals to the quarantine and the log.
 */
final class TargetEventHandler implements TargetTableListener {

    /** The event loop, which supplies the time. */
    private final NioReactor reactor;

    private final RequestDialect dialect;

    private final HarmfulRequests harmful;

    private final StreamVersions streams;

    private final TargetLog log;

    /** The wall clock, for dates in responses. */
    private final Clock clock;

    /**
     * Creates a handler.
     *
     * @param reactor The event loop, which supplies the time.
     * @param dialect Parses responses.
     * @param harmful Receives crashed targets.
     * @param streams Receives changed versions.
     * @param log Receives draining and paused targets.
     * @param clock The wall clock, for dates in responses.
     */
    TargetEventHandler(
            NioReactor reactor,
            RequestDialect dialect,
            HarmfulRequests harmful,
            StreamVersions streams,
            TargetLog log,
            Clock clock) {
        this.reactor = reactor;
        this.dialect = dialect;
        this.harmful = harmful;
        this.streams = streams;
        this.log = log;
        this.clock = clock;
    }

    @Override
    public void crashed(KnownTarget target) {
        harmful.targetCrashed(target, CrashSource.DIRECTORY);
    }

    @Override
    public void draining(String incarnation, NoticeSource source) {
        log.draining(incarnation, source);
    }

    @Override
    public void unlisted(String incarnation, NoticeSource source) {
        log.unlisted(incarnation, source);
    }

    @Override
    public void versionChanged(String target) {
        streams.versionChanged(target);
    }

    @Override
    public void responseReceived(TargetLoad target, HttpResponse head) {
        AvailabilityNotice notice = dialect.notice(head, clock.millis());
        Availability availability = target.availability();
        long now = reactor.currentTimeMillis();
        if (notice.draining() && availability.markDraining(NoticeSource.ANSWER, now)) {
            draining(target.target().incarnation(), NoticeSource.ANSWER);
        }
        if (notice.pauseMillis() > 0 && availability.pause(notice.pauseMillis(), now)) {
            log.pauseRequested(target.target().incarnation(), notice.pauseMillis());
        }
    }

    @Override
    public void unrequestedResponse(TargetLoad target, HttpResponse head) {
        log.responseDiscarded(
                target.target().incarnation(), head.status().code(), DiscardCause.UNREQUESTED);
    }
}
