package org.martenwell.service;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;

/**
 * A clock that leaves out the time in which the event loop was late. A loop runs due timers before
 * it reads its sockets, so a timeout that is measured on the loop's own clock takes a delay of the
 * loop for silence of the other side.
 *
 * <p>Within a turn of the loop, the clock advances by at most twice {@link #MAX_TURN_MILLIS},
 * however long the turn takes. It is never ahead of the loop's clock and advances in each turn, so
 * a timeout ends real silence on a late loop too.
 */
public final class ResponsiveClock implements ManagedService {

    /** The interval at which the clock notices that the loop turns, in milliseconds. */
    private static final long TICK_MILLIS = 50;

    /** The longest time between two ticks that counts in full, in milliseconds. */
    private static final long MAX_TURN_MILLIS = 80;

    /**
     * The time after which a tick that couldn't be scheduled, as for lack of memory, is made up
     * for, in milliseconds.
     */
    private static final long MAX_LOST_TICK_MILLIS = 1_000;

    private final NioReactor reactor;

    /** The time of the last tick on the loop's clock, in milliseconds. */
    private long tickMillis;

    /** The time left out up to the last tick, in milliseconds. */
    private long omittedMillis;

    private boolean stopped;

    /** Set while the next tick is scheduled. */
    private boolean tickScheduled;

    /**
     * Creates a clock that shows the loop's current time.
     *
     * @param reactor The event loop.
     */
    public ResponsiveClock(NioReactor reactor) {
        this.reactor = reactor;
        this.tickMillis = reactor.currentTimeMillis();
    }

    @Override
    public Promise<Void> start() {
        scheduleTick();
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        stopped = true;
        return Promise.complete();
    }

    /**
     * Returns the current time. Only differences between two times have a meaning.
     *
     * @return The time in milliseconds.
     */
    public long millis() {
        if (!tickScheduled && !stopped && sinceTickMillis() > MAX_LOST_TICK_MILLIS) {
            tick();
        }
        return reactor.currentTimeMillis() - omittedMillis();
    }

    /**
     * Returns the total time for which the loop was late.
     *
     * @return The time left out since the clock was created, in milliseconds.
     */
    public long omittedMillis() {
        return omittedMillis + Math.max(0, sinceTickMillis() - MAX_TURN_MILLIS);
    }

    private long sinceTickMillis() {
        return reactor.currentTimeMillis() - tickMillis;
    }

    private void scheduleTick() {
        reactor.delayBackground(TICK_MILLIS, this::tick);
        tickScheduled = true;
    }

    private void tick() {
        tickScheduled = false;
        if (stopped) {
            return;
        }
        omittedMillis = omittedMillis();
        tickMillis = reactor.currentTimeMillis();
        // Posted, so that the next tick can't fall into the same turn.
        reactor.post(this::scheduleTick);
    }
}
