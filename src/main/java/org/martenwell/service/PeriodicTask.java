package org.martenwell.service;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;

/** A task that an event loop runs periodically, also after a run that failed. */
public final class PeriodicTask implements ManagedService {

    private final NioReactor reactor;

    private final long initialDelayMillis;

    private final long intervalMillis;

    private final Runnable task;

    private boolean stopped;

    /**
     * Creates a task that first runs after one interval.
     *
     * @param reactor The event loop.
     * @param intervalMillis The interval, in milliseconds.
     * @param task The action.
     */
    public PeriodicTask(NioReactor reactor, long intervalMillis, Runnable task) {
        this(reactor, intervalMillis, intervalMillis, task);
    }

    /**
     * Creates a task.
     *
     * @param reactor The event loop.
     * @param initialDelayMillis The delay of the first run after the start, in milliseconds.
     * @param intervalMillis The interval of further runs, in milliseconds.
     * @param task The action.
     */
    public PeriodicTask(
            NioReactor reactor, long initialDelayMillis, long intervalMillis, Runnable task) {
        this.reactor = reactor;
        this.initialDelayMillis = initialDelayMillis;
        this.intervalMillis = intervalMillis;
        this.task = task;
    }

    @Override
    public Promise<Void> start() {
        reactor.delayBackground(initialDelayMillis, this::run);
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        stopped = true;
        return Promise.complete();
    }

    private void run() {
        if (!stopped) {
            reactor.delayBackground(intervalMillis, this::run);
            task.run();
        }
    }
}
