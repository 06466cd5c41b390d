package org.martenwell.share;

/** A sum over a sliding window, divided into buckets of equal length. */
final class SlidingSum {

    private static final int BUCKETS = 16;

    private final long bucketMillis;

    /** The sums of the buckets, as a ring indexed by the bucket number modulo the length. */
    private final double[] sums = new double[BUCKETS];

    /** The number of the newest bucket, counted from time 0. */
    private long newestBucket;

    /**
     * Creates an empty sum.
     *
     * @param windowMillis The length of the window, in milliseconds.
     */
    SlidingSum(long windowMillis) {
        bucketMillis = Math.max(1, windowMillis / BUCKETS);
    }

    /**
     * Adds an amount to the current bucket.
     *
     * @param amount The amount.
     * @param now The current time, in milliseconds.
     */
    void add(double amount, long now) {
        advance(now);
        sums[(int) Math.floorMod(newestBucket, (long) BUCKETS)] += amount;
    }

    /**
     * Subtracts an amount from the bucket to which it was added. It has no effect if that bucket
     * has expired.
     *
     * @param amount The amount.
     * @param addedMillis The time at which it was added, in milliseconds.
     * @param now The current time, in milliseconds.
     */
    void subtract(double amount, long addedMillis, long now) {
        advance(now);
        long bucket = addedMillis / bucketMillis;
        if (newestBucket - bucket < BUCKETS) {
            sums[(int) Math.floorMod(bucket, (long) BUCKETS)] -= amount;
        }
    }

    /**
     * Returns the sum over the window.
     *
     * @param now The current time, in milliseconds.
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
     * Moves the window to the current time and clears the buckets that it reuses.
     *
     * @param now The current time, in milliseconds.
     */
    private void advance(long now) {
        long currentBucket = now / bucketMillis;
        long from = Math.max(newestBucket + 1, currentBucket - BUCKETS + 1);
        for (long each = from; each <= currentBucket; each++) {
            sums[(int) Math.floorMod(each, (long) BUCKETS)] = 0;
        }
        newestBucket = Math.max(newestBucket, currentBucket);
    }
}
