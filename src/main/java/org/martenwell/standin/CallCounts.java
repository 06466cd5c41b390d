package org.martenwell.standin;

/**
 * The numbers of calls that a platform stand-in received since its start.
 *
 * @param reads The reads, including those of the box list.
 * @param writes The writes, including rejected ones.
 * @param watches The long polls for changes.
 */
public record CallCounts(long reads, long writes, long watches) {

    /** No calls. */
    static final CallCounts NONE = new CallCounts(0, 0, 0);

    /** {@return the number of calls of all types} */
    public long total() {
        return reads + writes + watches;
    }
}
