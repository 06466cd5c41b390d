package org.martenwell.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.martenwell.configuration.Target;

/** A keeper's account of one target that it keeps. */
final class KeptTarget {

    /** The first time that a failing target is set aside for, in milliseconds. */
    private static final long FIRST_ASIDE_MILLIS = 500;

    /** The longest time that a failing target is set aside for, in milliseconds. */
    private static final long LONGEST_ASIDE_MILLIS = 15_000;

    /** The target's configuration. */
    private Target target;

    /** The keeper's term for this target. */
    private final long term;

    /** Until when slots of routers that have not told theirs count as taken. */
    private final long settleUntil;

    /** The routers' accounts by router. */
    private final Map<String, RouterShare> shares = new HashMap<>();

    /** {@code true} while the target takes new work. */
    private boolean open = true;

    /** Until when the target is set aside. */
    private long asideUntil;

    /** For how long it was last set aside, or 0 if it is sound. */
    private long asideMillis;

    /**
     * Creates an account.
     *
     * @param target The target's configuration.
     * @param term The keeper's term for this target.
     * @param settleUntil Until when slots of routers that have not told theirs count as taken.
     */
    KeptTarget(Target target, long term, long settleUntil) {
        this.target = target;
        this.term = term;
        this.settleUntil = settleUntil;
    }

    /**
     * Returns the keeper's term for this target.
     *
     * @return The term.
     */
    long term() {
        return term;
    }

    /**
     * Returns the target's configuration.
     *
     * @return The configuration.
     */
    Target target() {
        return target;
    }

    /**
     * Changes the target's configuration.
     *
     * @param changed The configuration.
     */
    void reconfigure(Target changed) {
        target = changed;
    }

    /**
     * Says whether the target takes new work.
     *
     * @param takesWork {@code false} if it is leaving.
     */
    void open(boolean takesWork) {
        open = takesWork;
    }

    /**
     * Returns the account of a router.
     *
     * @param router The router.
     * @param incarnation The router's incarnation; an account of an earlier one is dropped.
     * @return The account.
     */
    RouterShare share(String router, long incarnation) {
        RouterShare share = shares.get(router);
        if (share == null || share.incarnation() < incarnation) {
            share = new RouterShare(incarnation);
            shares.put(router, share);
        }
        return share;
    }

    /**
     * Returns all accounts.
     *
     * @return The accounts by router.
     */
    Map<String, RouterShare> shares() {
        return shares;
    }

    /**
     * Drops a router that is no longer a member.
     *
     * @param router The router.
     */
    void drop(String router) {
        shares.remove(router);
    }

    /**
     * Returns whether the slots that earlier keepers granted are known.
     *
     * @param members The routers that are members.
     * @param now The time.
     * @return {@code true} if all members told theirs or had the time to.
     */
    boolean settled(Set<String> members, long now) {
        return now >= settleUntil || members.stream().allMatch(this::known);
    }

    /**
     * Returns whether a router told its slots.
     *
     * @param router The router.
     * @return {@code true} if it did.
     */
    private boolean known(String router) {
        RouterShare share = shares.get(router);
        return share != null && share.known();
    }

    /**
     * Notes that requests failed at the target. It is set aside, each time for longer; failures
     * that are told while it is set aside do not lengthen the time.
     *
     * @param now The time.
     */
    void noteFailure(long now) {
        if (now >= asideUntil) {
            long next = Math.max(FIRST_ASIDE_MILLIS, 2 * asideMillis);
            asideMillis = Math.min(LONGEST_ASIDE_MILLIS, next);
            asideUntil = now + asideMillis;
        }
    }

    /**
     * Notes that a request ran well at the target.
     *
     * @param now The time.
     */
    void noteSuccess(long now) {
        if (now >= asideUntil) {
            asideMillis = 0;
        }
    }

    /**
     * Returns whether the target was set aside and has not yet run a request well since.
     *
     * @return {@code true} if it is on trial.
     */
    boolean onTrial() {
        return asideMillis > 0;
    }

    /**
     * Returns how many slots the target offers now. One on trial offers a single slot, so that its
     * return starts no herd.
     *
     * @param now The time.
     * @return The number of slots.
     */
    int offered(long now) {
        if (!open || now < asideUntil) {
            return 0;
        }
        return onTrial() ? 1 : target.slots();
    }

    /**
     * Returns how many slots are taken.
     *
     * @return The number of slots.
     */
    int taken() {
        int sum = 0;
        for (RouterShare share : shares.values()) {
            sum += share.taken();
        }
        return sum;
    }

    /**
     * Returns how many slots are lent to routers.
     *
     * @return The number of slots.
     */
    int lent() {
        int sum = 0;
        for (RouterShare share : shares.values()) {
            sum += share.totals(SlotClass.ANY).outstanding();
        }
        return sum;
    }
}
