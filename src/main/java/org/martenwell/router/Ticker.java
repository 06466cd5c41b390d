package org.martenwell.router;

import io.activej.reactor.nio.NioReactor;

/** Runs periodic tasks on the event loop. */
public final class Ticker {

    private final NioReactor reactor;

    private boolean stopped;

    /**
     * Creates a ticker without tasks.
     *
     * @param reactor The event loop.
     */
    public Ticker(NioReactor reactor) {
        this.reactor = reactor;
    }

    /**
     * Runs a task periodically until {@link #stop()}, first after one interval.
     *
     * @param millis The time between the end of a run and the next run, in milliseconds.
     * @param action The task.
     */
    public void every(long millis, Runnable action) {
        reactor.delayBackground(
                millis,
                () -> {
                    if (!stopped) {
                        action.run();
                        every(millis, action);
                    }
                });
    }

    /** Stops all tasks. A stopped ticker can't be restarted. */
    public void stop() {
        stopped = true;
    }
}
