package org.martenwell.admission;

import java.util.Arrays;

/**
 * Rate at which a gateway obtains places at the engines of a service. While requests wait, it
 * equals the rate at which places become free for this gateway, after those that its peers take.
 */
final class PlaceRate {

    private static final int BUCKETS = 20;

    private static final long BUCKET_MILLIS = 50;

    private static final double WINDOW_MILLIS = BUCKETS * BUCKET_MILLIS;

    /**
     * The weight of the rate before the backlog, in milliseconds. The places that were obtained
     * while some were free say little about the rate at which they become free.
     */
    private static final double EARLIER_WEIGHT_MILLIS = 250;

    /** The fewest places in the last second with which the rate is known. */
    private static final int MIN_PLACES = 3;

    /** The number of places obtained in each interval, by its number modulo their count. */
    private final int[] obtained = new int[BUCKETS];

    /** The sum of these numbers. */
    private int lastSecond;

    /** The number of the last interval. */
    private long lastBucket;

    /** The time since which requests wait, in milliseconds, negative if none waits. */
    private long backloggedSince = -1;

    /** The rate when the backlog began, in places per millisecond. */
    private double earlierRate;

    /** The places obtained since the backlog began. */
    private int obtainedSince;

    /** Creates the rate of a service without requests. */
    PlaceRate() {}

    /**
     * Records that a request was sent to an engine.
     *
     * @param now The current time, in milliseconds.
     */
    void recordPlace(long now) {
        advance(now);
        obtained[index(lastBucket)]++;
        lastSecond++;
        obtainedSince++;
    }

    /**
     * Records that requests wait, unless that is known.
     *
     * @param now The current time, in milliseconds.
     */
    void markBacklogged(long now) {
        if (backloggedSince < 0) {
            advance(now);
            earlierRate = lastSecond / WINDOW_MILLIS;
            backloggedSince = now;
            obtainedSince = 0;
        }
    }

    /** Records that no request waits. */
    void markEmpty() {
        backloggedSince = -1;
    }

    /**
     * Estimates the rate.
     *
     * @param now The current time, in milliseconds.
     * @return The rate in places per millisecond, 0 if it is unknown.
     */
    double perMilli(long now) {
        advance(now);
        if (lastSecond < MIN_PLACES) {
            return 0;
        }
        long backlogged = now - backloggedSince;
        if (backloggedSince < 0 || backlogged >= WINDOW_MILLIS) {
            return lastSecond / WINDOW_MILLIS;
        }
        return (obtainedSince + earlierRate * EARLIER_WEIGHT_MILLIS)
                / (backlogged + EARLIER_WEIGHT_MILLIS);
    }

    private void advance(long now) {
        long bucket = now / BUCKET_MILLIS;
        if (bucket - lastBucket >= BUCKETS) {
            Arrays.fill(obtained, 0);
            lastSecond = 0;
            lastBucket = bucket;
        }
        while (lastBucket < bucket) {
            lastBucket++;
            lastSecond -= obtained[index(lastBucket)];
            obtained[index(lastBucket)] = 0;
        }
    }

    private static int index(long bucket) {
        return (int) (bucket % BUCKETS);
    }
}
