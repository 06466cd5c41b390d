package org.martenwell.share;

/**
 * What an organisation asked and got in the last window.
 *
 * @param asked The tokens that its requests asked for.
 * @param begun The tokens of those that were sent to a target.
 */
public record ShareSums(double asked, double begun) {

    /** Nothing. */
    public static final ShareSums NONE = new ShareSums(0, 0);

    /**
     * Adds sums.
     *
     * @param other The other sums.
     * @return The sums of both.
     */
    public ShareSums plus(ShareSums other) {
        return new ShareSums(asked + other.asked, begun + other.begun);
    }
}
