package org.martenwell.router;

import io.activej.reactor.nio.NioReactor;

/** Does things again and again until it is stopped. */
public final class Ticker {

    /** The loop. */
    private final NioReactor reactor;

    /** {@code true} once stopped. */
    private boolean stopped;

    /**
     * Creates a ticker that does nothing.
     *
     * @param reactor The loop.
     */
    public Ticker(NioReactor reactor) {
        this.reactor = reactor;
    }

    /**
     * Does something now and then.
     *
     * @param millis How often, in milliseconds.
     * @param action The action.
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

    /** Stops all actions. */
    public void stop() {
        stopped = true;
    }
}
