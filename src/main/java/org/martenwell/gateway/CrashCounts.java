package org.martenwell.gateway;

/**
 * Counts of the crashes of a target that this gateway knows of. A request takes the counts when it
 * is written; those that have changed since are crashes with the request in progress.
 */
final class CrashCounts {

    private int observed;

    private int reported;

    /**
     * Records a crash.
     *
     * @param source The source that shows it.
     */
    void record(CrashSource source) {
        if (source.immediate()) {
            observed++;
        } else {
            reported++;
        }
    }

    /** {@return the number of crashes shown by immediate sources} */
    int observed() {
        return observed;
    }

    /** {@return the number of crashes shown by other sources} */
    int reported() {
        return reported;
    }
}
