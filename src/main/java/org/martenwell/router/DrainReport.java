package org.martenwell.router;

/**
 * What was still there when draining ended.
 *
 * @param running The requests that ran and are cut off.
 * @param waiting The requests that waited and did not run.
 */
public record DrainReport(int running, int waiting) {

    /**
     * Returns whether nothing was cut off.
     *
     * @return {@code true} if nothing was left.
     */
    public boolean clean() {
        return running == 0 && waiting == 0;
    }
}
