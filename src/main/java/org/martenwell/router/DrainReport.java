package org.martenwell.router;

/**
 * Requests that remained when draining ended.
 *
 * @param running The number of running requests, which fail without a known outcome.
 * @param waiting The least number of requests that still arrive or wait, for a slot or for the
 *     claim of their key, which are not run.
 */
public record DrainReport(int running, int waiting) {

    /** {@return {@code true} if no request remained} */
    public boolean clean() {
        return running == 0 && waiting == 0;
    }
}
