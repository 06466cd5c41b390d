package org.martenwell.share;

/**
 * What an organisation asked and got in the last window.
 *
 * @param asked The tokens that its requests asked for.
 * @param begun The tokens of those that were sent to a target.
 * @param within The tokens of those of them that were within its share of what the fleet is
 *     promised to produce when they were sent.
 */
public record ShareSums(double asked, double begun, double within) {

    /** Nothing. */
    public static final ShareSums NONE = new ShareSums(0, 0, 0);

    /**
     * Adds sums.
     *
     * @param other The other sums.
     * @return The sums of both.
     */
    public ShareSums plus(ShareSums other) {
        return new ShareSums(asked + other.asked, begun + other.begun, within + other.within);
    }
}
