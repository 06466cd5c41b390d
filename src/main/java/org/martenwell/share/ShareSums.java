package org.martenwell.share;

/**
 * The demand and use of one organisation in the last window.
 *
 * @param requested The cost of the received requests, in tokens.
 * @param sent The cost of the requests sent to a target, in tokens.
 * @param withinShare The cost of the requests sent within the promised share, in tokens.
 */
public record ShareSums(double requested, double sent, double withinShare) {

    /** The sums of an organisation without requests. */
    public static final ShareSums NONE = new ShareSums(0, 0, 0);

    /**
     * Adds up two sums.
     *
     * @param other The other sums.
     * @return The total of both.
     */
    public ShareSums plus(ShareSums other) {
        return new ShareSums(
                requested + other.requested, sent + other.sent, withinShare + other.withinShare);
    }
}
