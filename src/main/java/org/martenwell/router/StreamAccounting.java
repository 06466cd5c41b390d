package org.martenwell.router;

import org.martenwell.error.MartenwellException;
import org.martenwell.schedule.Slot;

/** Records the service of one stream and releases its slot at the end. */
final class StreamAccounting implements StreamListener {

    private final RequestProgress progress;

    private final Slot slot;

    private final FleetScheduler scheduler;

    private final RouteLog log;

    private final RouterMetrics metrics;

    /**
     * Creates a listener for a stream that starts now.
     *
     * @param progress The progress of the request.
     * @param slot The slot that the stream occupies.
     * @param scheduler The scheduler that records service and releases the slot.
     * @param log The log of this router.
     * @param metrics The metrics of this router.
     */
    StreamAccounting(
            RequestProgress progress,
            Slot slot,
            FleetScheduler scheduler,
            RouteLog log,
            RouterMetrics metrics) {
        this.progress = progress;
        this.slot = slot;
        this.scheduler = scheduler;
        this.log = log;
        this.metrics = metrics;
        metrics.streamOpened();
    }

    @Override
    public void events(int count) {
        scheduler.recordService(slot.organisation(), count * progress.request().unitsPerToken());
    }

    @Override
    public void resumed(String lastId) {
        metrics.resumed();
        log.resumed(progress.request(), lastId);
    }

    @Override
    public void completed() {
        progress.markComplete();
        metrics.streamClosed();
        scheduler.release(slot, false);
    }

    @Override
    public void disconnected() {
        metrics.streamClosed();
        metrics.callerDisconnected();
        scheduler.release(slot, false);
    }

    @Override
    public void failed(MartenwellException failure) {
        metrics.streamClosed();
        metrics.failed(failure.kind());
        log.failed(progress.request(), progress.withOverallOutcome(failure));
        scheduler.release(slot, true);
    }
}
