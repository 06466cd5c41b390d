package org.martenwell.share;

/**
 * How much of its fair shares an organisation has used. Above 1 it exceeds a share; 0 if all
 * demands can be met.
 *
 * @param promised The part of its share of what the fleet is promised to produce.
 * @param observed The part of its share of what the fleet really produced, if that is more.
 */
public record ShareUse(double promised, double observed) {

    /** Nothing used. */
    public static final ShareUse NONE = new ShareUse(0, 0);

    /**
     * Returns which share the organisation is within.
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
