package org.martenwell.offload;

/**
 * A peer that offers processor time, and how much of it this gateway may use.
 *
 * <p>The offered time excludes what the peer already uses, also for requests of this gateway. The
 * permitted rate is therefore the rate that the peer's report covers, plus a part of the offered
 * time. The part is small if several gateways seem to use the same offer: it is halved when the
 * peer has none left or rejects a request, and recovers slowly.
 */
final class HelpingPeer {

    /** The time for which a notice counts, in milliseconds; two notices and a delay. */
    private static final long NOTICE_MILLIS = 900;

    /**
     * The time constant of the rate that a notice covers, in milliseconds: the age of a notice, the
     * mean over which a peer measures its use, and half the time for which requests run.
     */
    private static final double COVERED_MILLIS = 1_000;

    /** The largest part of an offer that is used beyond what the notice covers. */
    private static final double MAX_SHARE = 0.6;

    /** The smallest part, so that a peer that others no longer use is used again. */
    private static final double MIN_SHARE = 0.04;

    /** The factor by which the part shrinks if an offer was exceeded. */
    private static final double SHARE_DECREASE = 0.5;

    /**
     * The factor by which the part grows with each notice: doubled in 7 s, an order of magnitude
     * slower than exceeded offers show.
     */
    private static final double SHARE_INCREASE = 1.04;

    /**
     * The part of the covered rate that is kept. Less than 1, so that a peer that is used fully has
     * some time left to offer and isn't dropped as one that accepts no requests.
     */
    private static final double KEPT_RATE = 0.92;

    /**
     * The time over which unused time accumulates, in milliseconds. Requests arrive in bursts,
     * while a peer may not get more at once than it handles without a noticeable lag.
     */
    private static final double BURST_MILLIS = 150;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** The offered time, in milliseconds per second. */
    private double offeredMillis;

    /** The time of the last notice, in milliseconds. */
    private long noticeMillis;

    /** The part of an offer that is used beyond what the notice covers. */
    private double share = MAX_SHARE;

    /** The permitted rate, in milliseconds of processor time per second. */
    private double permittedRate;

    /** The time that may be used now, in milliseconds. */
    private double available;

    /** The mean rate of sent work as of the last update, in milliseconds per second. */
    private double sentRate;

    /** The time of the last update of the available time and the mean rate, in milliseconds. */
    private long updatedMillis;

    /** The time until which the peer is excluded, in milliseconds. */
    private long excludedUntilMillis = Long.MIN_VALUE;

    /** The time at which the last request was sent, in milliseconds. */
    private long usedMillis;

    /**
     * Creates a peer that has offered nothing.
     *
     * @param now The current time, in milliseconds.
     */
    HelpingPeer(long now) {
        noticeMillis = now;
        updatedMillis = now;
        usedMillis = now;
    }

    /**
     * Applies a notice.
     *
     * @param spareMillis The offered time, in milliseconds per second.
     * @param now The current time, in milliseconds.
     */
    void offered(double spareMillis, long now) {
        update(now);
        if (spareMillis > 0) {
            share = Math.min(MAX_SHARE, share * SHARE_INCREASE);
        } else if (offeredMillis > 0) {
            reduceShare();
        }
        offeredMillis = spareMillis;
        noticeMillis = now;
        permittedRate = spareMillis > 0 ? KEPT_RATE * sentRate + share * spareMillis : 0;
        available = Math.min(available, burst());
    }

    /** Reduces what is used, after a rejection or when the peer has nothing left to offer. */
    void reduceShare() {
        share = Math.max(MIN_SHARE, share * SHARE_DECREASE);
    }

    /**
     * Excludes the peer for a time.
     *
     * @param until The end of the time, in milliseconds.
     */
    void exclude(long until) {
        excludedUntilMillis = Math.max(excludedUntilMillis, until);
    }

    /**
     * Returns whether the peer offers processor time and may be used.
     *
     * @param now The current time, in milliseconds.
     * @return {@code true} if it does.
     */
    boolean offers(long now) {
        return offeredMillis > 0
                && now - noticeMillis <= NOTICE_MILLIS
                && now >= excludedUntilMillis;
    }

    /**
     * Returns whether the peer may get a request.
     *
     * @param workMillis The processor time that the request needs, in milliseconds.
     * @param now The current time, in milliseconds.
     * @return {@code true} if it may.
     */
    boolean hasTimeFor(double workMillis, long now) {
        if (!offers(now)) {
            return false;
        }
        update(now);
        return available >= Math.min(workMillis, burst());
    }

    /**
     * Records a request that is sent to the peer.
     *
     * @param workMillis The processor time that the request needs, in milliseconds.
     * @param now The current time, in milliseconds.
     */
    void sent(double workMillis, long now) {
        update(now);
        available -= workMillis;
        sentRate += workMillis * MILLIS_PER_SECOND / COVERED_MILLIS;
        usedMillis = now;
    }

    /** {@return the offered time, in milliseconds per second} */
    double offeredMillis() {
        return offeredMillis;
    }

    /** {@return the permitted rate, in milliseconds of processor time per second} */
    double permittedRate() {
        return permittedRate;
    }

    /** {@return the time at which the last request was sent, in milliseconds} */
    long usedMillis() {
        return usedMillis;
    }

    private double burst() {
        return permittedRate * BURST_MILLIS / MILLIS_PER_SECOND;
    }

    private void update(long now) {
        double elapsedMillis = Math.max(0, now - updatedMillis);
        sentRate *= Math.exp(-elapsedMillis / COVERED_MILLIS);
        available =
                Math.min(burst(), available + permittedRate * elapsedMillis / MILLIS_PER_SECOND);
        updatedMillis = Math.max(updatedMillis, now);
    }
}
