package org.martenwell.directory;

/**
 * Interval between lists of the objects of one kind.
 *
 * @param intervalMillis The minimum interval in milliseconds.
 * @param perEntryMillis The interval per listed object in milliseconds, which applies if the
 *     product exceeds the minimum.
 * @param freshLists The number of {@link Freshness#CURRENT} lists after a start, before stale ones
 *     suffice.
 */
record PollInterval(long intervalMillis, long perEntryMillis, int freshLists) {

    /**
     * Interval for gateways. Every gateway lists all of them, so the interval grows with the fleet
     * to limit the load on the store to 10 lists per second in total. With 95 gateways, lists every
     * 3 s make up four in five of all calls of a calm day. The second current list finds gateways
     * that started at the same time.
     */
    static final PollInterval GATEWAYS = new PollInterval(3_000, 100, 2);

    /**
     * Interval for quarantined requests. Peers report new ones within a second; lists serve
     * gateways that have just started, and removals by an operator.
     */
    static final PollInterval QUARANTINED_REQUESTS = new PollInterval(15_000, 0, 1);

    /**
     * Returns the interval for a number of objects.
     *
     * @param entries The number of objects.
     * @return The mean interval in milliseconds.
     */
    long millis(int entries) {
        return Math.max(intervalMillis, perEntryMillis * entries);
    }
}
