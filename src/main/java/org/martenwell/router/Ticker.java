package org.martenwell.router;

import io.activej.reactor.nio.NioReactor;
import java.util.ArrayList;
import java.util.List;
import org.martenwell.service.PeriodicTask;

/** Runs periodic tasks on the event loop. */
public final class Ticker {

    private final NioReactor reactor;

    private final List<PeriodicTask> tasks = new ArrayList<>();

    /**
     * Creates a ticker without tasks.
     *
     * @param reactor The event loop.
     */
    public Ticker(NioReactor reactor) {
        this.reactor = reactor;
    }

    /**
     * Runs a task periodically until {@link #stop()}, first after one interval, also after a run
     * that failed.
     *
     * @param millis The time between the begins of two runs, in milliseconds.
     * @param action The task.
     */
    public void every(long millis, Runnable action) {
        PeriodicTask task = new PeriodicTask(reactor, millis, action);
        tasks.add(task);
        task.start();
    }

    /** Stops all tasks. A stopped ticker can't be restarted. */
    public void stop() {
        tasks.forEach(PeriodicTask::stop);
    }
}
