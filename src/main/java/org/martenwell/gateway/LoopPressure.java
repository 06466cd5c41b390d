package org.martenwell.gateway;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.util.Random;
import org.martenwell.service.ManagedService;

/**
 * Measures how far the loop is behind and refuses a part of the new requests while it is. All
 * callers of an organisation may come to one small box. A box that takes in more than it has
 * processor time for answers nobody in time; refused callers come back to other gateways, which
 * have room. The part grows with the delay, so it settles where the box serves what it can.
 */
final class LoopPressure implements ManagedService {

    /** How often the delay is looked at, in milliseconds. */
    private static final long TICK_MILLIS = 25;

    /** How much the last look weighs, so that one collection of garbage refuses nobody. */
    private static final double WEIGHT = 0.2;

    /**
     * The mean delay from which requests are refused, in milliseconds. A guess: some rounds of a
     * busy loop, and little against objectives of 250 and more.
     */
    private static final double BEARABLE_MILLIS = 30;

    /** The mean delay at which nearly all are refused, in milliseconds: half of 250. */
    private static final double FULL_MILLIS = 130;

    /** The largest part that is refused, so that the delay goes on to be that of serving. */
    private static final double MOST = 0.95;

    /** The loop. */
    private final NioReactor reactor;

    /** Chooses which requests are refused. */
    private final Random random;

    /** When the loop should look at its delay, in milliseconds. */
    private long dueMillis;

    /** The mean delay, the last looks counting most, in milliseconds. */
    private double meanMillis;

    /** The longest delay since it was last asked for, in milliseconds. */
    private long longestMillis;

    /** Whether nothing is looked at any more. */
    private boolean stopped;

    /**
     * Creates a measure that refuses nothing.
     *
     * @param reactor The loop.
     * @param random Chooses which requests are refused.
     */
    LoopPressure(NioReactor reactor, Random random) {
        this.reactor = reactor;
        this.random = random;
    }

    @Override
    public Promise<Void> start() {
        lookLater();
        return Promise.complete();
    }

    @Override
    public Promise<Void> stop() {
        stopped = true;
        return Promise.complete();
    }

    /**
     * Decides whether a new request is refused.
     *
     * @return {@code true} if it is.
     */
    boolean refuses() {
        double part = part();
        return part > 0 && random.nextDouble() < part;
    }

    /**
     * Returns the part of new requests that is refused.
     *
     * @return The part, from 0 to 1.
     */
    double part() {
        double part = (meanMillis - BEARABLE_MILLIS) / (FULL_MILLIS - BEARABLE_MILLIS);
        return Math.min(MOST, Math.max(0, part));
    }

    /**
     * Returns the longest delay since the last call.
     *
     * @return The delay in milliseconds.
     */
    long takeLongestMillis() {
        long longest = longestMillis;
        longestMillis = 0;
        return longest;
    }

    /** Looks at the delay. */
    private void look() {
        if (stopped) {
            return;
        }
        long late = Math.max(0, reactor.currentTimeMillis() - dueMillis);
        meanMillis += WEIGHT * (late - meanMillis);
        longestMillis = Math.max(longestMillis, late);
        lookLater();
    }

    /** Looks at the delay after a while. */
    private void lookLater() {
        dueMillis = reactor.currentTimeMillis() + TICK_MILLIS;
        reactor.delayBackground(TICK_MILLIS, this::look);
    }
}
