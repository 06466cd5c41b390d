package org.martenwell.share;

/** A sum over the last moments, kept in buckets. */
final class SlidingSum {

    /** How many buckets there are. */
    private static final int BUCKETS = 16;

    /** How long a bucket is, in milliseconds. */
    private final long bucketMillis;

    /** The sums of the buckets. */
    private final double[] sums = new double[BUCKETS];

    /** The number of the newest bucket since the clock's origin. */
    private long newest;

    /**
     * Creates an empty sum.
     *
     * @param windowMillis Over how long it sums, in milliseconds.
     */
    SlidingSum(long windowMillis) {
        bucketMillis = Math.max(1, windowMillis / BUCKETS);
    }

    /**
     * Adds an amount.
     *
     * @param amount The amount.
     * @param now The present time, in milliseconds.
     */
    void add(double amount, long now) {
        advance(now);
        sums[(int) Math.floorMod(newest, (long) BUCKETS)] += amount;
    }

    /**
     * Takes an amount back that was added before.
     *
     * @param amount The amount.
     * @param addedMillis When it was added, in milliseconds.
     * @param now The present time, in milliseconds.
     */
    void takeBack(double amount, long addedMillis, long now) {
        advance(now);
        long bucket = addedMillis / bucketMillis;
        if (newest - bucket < BUCKETS) {
            sums[(int) Math.floorMod(bucket, (long) BUCKETS)] -= amount;
        }
    }

    /**
     * Returns the sum.
     *
     * @param now The present time, in milliseconds.
     * @return The sum.
     */
    double sum(long now) {
        advance(now);
        double sum = 0;
        for (double each : sums) {
            sum += each;
        }
        return sum;
    }

    /**
     * Clears buckets that are too old.
     *
     * @param now The present time, in milliseconds.
     */
    private void advance(long now) {
        long present = now / bucketMillis;
        long from = Math.max(newest + 1, present - BUCKETS + 1);
        for (long each = from; each <= present; each++) {
            sums[(int) Math.floorMod(each, (long) BUCKETS)] = 0;
        }
        newest = Math.max(newest, present);
    }
}
