package org.martenwell.standin;

/**
 * How many calls a stand-in platform took.
 *
 * @param reads The reads, box lists included.
 * @param writes The writes.
 * @param watches The watches.
 */
public record CallCounts(long reads, long writes, long watches) {

    /** No calls. */
    static final CallCounts NONE = new CallCounts(0, 0, 0);

    /**
     * Returns all calls.
     *
     * @return The sum.
     */
    public long total() {
        return reads + writes + watches;
    }
}
