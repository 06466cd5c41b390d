package org.martenwell.fairness;

/**
 * The share that an organisation got in a window in which it had unserved requests all the time.
 *
 * @param organisation The name of the organisation.
 * @param fromSecond The first second of the window, since the epoch.
 * @param counts The organisation's tokens in the window.
 * @param best The name of the organisation that got the most in the window.
 * @param bestServed The tokens that that organisation got.
 * @param owedTokens The lesser of what the organisation requested and what the best served one got,
 *     summed over the seconds of the window.
 */
public record ServedShare(
        String organisation,
        long fromSecond,
        TokenCounts counts,
        String best,
        long bestServed,
        long owedTokens) {

    /** {@return the served tokens as a fraction of the owed ones} */
    public double fraction() {
        return (double) counts.served() / owedTokens;
    }
}
