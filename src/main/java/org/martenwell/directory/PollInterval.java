package org.martenwell.directory;

/**
 * How often the objects of a kind are listed.
 *
 * @param intervalMillis How long it is from list to list at least, in milliseconds.
 * @param perEntryMillis How much each object adds to that, in milliseconds.
 * @param freshLists How many fresh lists come first, before lists that may be old do.
 */
record PollInterval(long intervalMillis, long perEntryMillis, int freshLists) {

    /**
     * The pace for gateways. Each of them lists all, so that with 100 ms an entry all together make
     * 10 lists a second however large the fleet is. At 95 gateways lists every 3 s were four in
     * five of all calls of a calm day. The second fresh list tells who started at the same time.
     */
    static final PollInterval GATEWAYS = new PollInterval(3_000, 100, 2);

    /**
     * The pace for requests that are held back. Peers tell of them within a second; lists are for
     * starts, and for operators who clear one.
     */
    static final PollInterval HELD_REQUESTS = new PollInterval(15_000, 0, 1);

    /**
     * Returns how long it is from list to list.
     *
     * @param entries How many objects there are.
     * @return The mean time in milliseconds.
     */
    long millis(int entries) {
        return Math.max(intervalMillis, perEntryMillis * entries);
    }
}
