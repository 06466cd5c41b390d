package org.martenwell.share;

/**
 * How much of its fair shares an organisation has used. Above 1 it exceeds a share; 0 if all
 * demands can be met.
 *
 * @param promised The part of its share of what the fleet is promised to produce.
 * @param observed The part of its share of what the fleet really produced, if that is more.
 * @param othersShort Whether another organisation asks for more than its share of what is produced
 *     and gets far less.
 */
public record ShareUse(double promised, double observed, boolean othersShort) {

    /** Nothing used. */
    public static final ShareUse NONE = new ShareUse(0, 0, false);

    /**
     * Returns which share the organisation is within.
     *
     * @return The tier.
     */
    public ShareTier tier() {
        if (promised <= 1) {
            return ShareTier.PROMISED;
        }
        if (observed <= 1) {
            return ShareTier.OBSERVED;
        }
        return othersShort ? ShareTier.WITHHELD : ShareTier.BEYOND;
    }
}
