package org.martenwell.share;

/**
 * The use that an organisation has made of its fair shares. Above 1 a share is exceeded; both are 0
 * if the capacity covers all demands.
 *
 * @param promised The used fraction of the share of the promised capacity.
 * @param observed The used fraction of the share of the observed capacity, if that is larger than
 *     the promised one.
 * @param aheadOfOthers Set if the organisation got so much more than one that is held up that its
 *     requests are refused.
 */
public record ShareUse(double promised, double observed, boolean aheadOfOthers) {

    /** The use of an organisation without requests. */
    public static final ShareUse NONE = new ShareUse(0, 0, false);

    /**
     * Returns the most favourable tier whose share is not exceeded.
     *
     * @return The tier.
     */
    public ShareTier tier() {
        if (promised <= 1) {
            return ShareTier.PROMISED;
        }
        return observed <= 1 ? ShareTier.OBSERVED : ShareTier.BEYOND;
    }
}
