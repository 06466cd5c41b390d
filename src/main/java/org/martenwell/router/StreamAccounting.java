package org.martenwell.router;

import org.martenwell.error.MartenwellException;
import org.martenwell.schedule.Slot;

/** Counts the service of one stream and gives its slot back at the end. */
final class StreamAccounting implements StreamListener {

    /** The request's life. */
    private final RequestProgress life;

    /** The slot. */
    private final Slot slot;

    /** Counts service and takes the slot back. */
    private final FleetScheduler scheduler;

    /** Logs what happens. */
    private final RouteLog log;

    /** Counts what happens. */
    private final RouterMetrics metrics;

    /**
     * Creates a listener.
     *
     * @param life The request's life.
     * @param slot The slot.
     * @param scheduler Counts service and takes the slot back.
     * @param log Logs what happens.
     * @param metrics Counts what happens.
     */
    StreamAccounting(
            RequestProgress life,
            Slot slot,
            FleetScheduler scheduler,
            RouteLog log,
            RouterMetrics metrics) {
        this.life = life;
        this.slot = slot;
        this.scheduler = scheduler;
        this.log = log;
        this.metrics = metrics;
        metrics.streamOpened();
    }

    @Override
    public void events(int count) {
        scheduler.served(slot.organisation(), count * life.request().unitsPerToken());
    }

    @Override
    public void resumed(String lastId) {
        metrics.resumed();
        log.resumed(life.request(), lastId);
    }

    @Override
    public void ended() {
        life.answered();
        metrics.streamClosed();
        scheduler.finish(slot, false);
    }

    @Override
    public void left() {
        metrics.streamClosed();
        metrics.callerLeft();
        scheduler.finish(slot, false);
    }

    @Override
    public void failed(MartenwellException failure) {
        metrics.streamClosed();
        metrics.refused(failure.kind());
        log.failed(life.request(), life.conclude(failure));
        scheduler.finish(slot, true);
    }
}
