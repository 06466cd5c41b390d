package org.martenwell.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.martenwell.configuration.Target;

/** Slots of one target that this router coordinates, with the backoff state of the target. */
final class CoordinatedTarget {

    /** Backoff after the first failure, in milliseconds. */
    private static final long INITIAL_BACKOFF_MILLIS = 500;

    /** Maximum backoff, in milliseconds. */
    private static final long MAX_BACKOFF_MILLIS = 15_000;

    private Target target;

    private final long term;

    /** Time from which slots are allocated even if some routers have not reported. */
    private final long reportDeadline;

    /** Allocations by router name. */
    private final Map<String, RouterAllocation> allocations = new HashMap<>();

    /** {@code true} while the target accepts new requests. */
    private boolean acceptsRequests = true;

    private long backoffUntil;

    /** Duration of the last backoff, or 0 after a success. */
    private long backoffMillis;

    /**
     * Creates a target without allocations.
     *
     * @param target The target's configuration.
     * @param term The coordinator's term for this target.
     * @param reportDeadline The time from which slots are allocated even if some routers have not
     *     reported, in milliseconds.
     */
    CoordinatedTarget(Target target, long term, long reportDeadline) {
        this.target = target;
        this.term = term;
        this.reportDeadline = reportDeadline;
    }

    /** {@return the coordinator's term for this target} */
    long term() {
        return term;
    }

    /** {@return the target's configuration} */
    Target target() {
        return target;
    }

    /**
     * Replaces the target's configuration.
     *
     * @param changed The new configuration.
     */
    void reconfigure(Target changed) {
        target = changed;
    }

    /**
     * Sets whether the target accepts new requests.
     *
     * @param accepting {@code false} if the target is draining or unavailable.
     */
    void setAcceptsRequests(boolean accepting) {
        acceptsRequests = accepting;
    }

    /**
     * Returns the allocation of a router, created if absent.
     *
     * @param router The router's name.
     * @param incarnation The router's incarnation; the allocation of an earlier one is discarded.
     * @return The allocation.
     */
    RouterAllocation allocation(String router, long incarnation) {
        RouterAllocation allocation = allocations.get(router);
        if (allocation == null || allocation.incarnation() < incarnation) {
            allocation = new RouterAllocation(incarnation);
            allocations.put(router, allocation);
        }
        return allocation;
    }

    /** {@return the allocations by router name} */
    Map<String, RouterAllocation> allocations() {
        return allocations;
    }

    /**
     * Removes the allocation of a router.
     *
     * @param router The router's name.
     */
    void removeAllocation(String router) {
        allocations.remove(router);
    }

    /**
     * Checks whether all slots that earlier coordinators granted are known.
     *
     * @param members The names of the member routers.
     * @param now The current time in milliseconds.
     * @return {@code true} if all members have reported or the deadline has passed.
     */
    boolean allocationsKnown(Set<String> members, long now) {
        return now >= reportDeadline || members.stream().allMatch(this::hasReported);
    }

    private boolean hasReported(String router) {
        RouterAllocation allocation = allocations.get(router);
        return allocation != null && allocation.reported();
    }

    /**
     * Records failed requests at the target and starts a backoff, doubling its duration each time.
     * Failures reported during a backoff do not prolong it.
     *
     * @param now The current time in milliseconds.
     */
    void recordFailure(long now) {
        if (now >= backoffUntil) {
            long next = Math.max(INITIAL_BACKOFF_MILLIS, 2 * backoffMillis);
            backoffMillis = Math.min(MAX_BACKOFF_MILLIS, next);
            backoffUntil = now + backoffMillis;
        }
    }

    /**
     * Records a successful request at the target. Successes during a backoff are ignored.
     *
     * @param now The current time in milliseconds.
     */
    void recordSuccess(long now) {
        if (now >= backoffUntil) {
            backoffMillis = 0;
        }
    }

    /**
     * Checks whether the target has failed and no request has succeeded since.
     *
     * @return {@code true} if the target is in backoff or probed with a single slot.
     */
    boolean isRecovering() {
        return backoffMillis > 0;
    }

    /**
     * Returns the number of slots available for allocation. A target that is being probed offers a
     * single slot, to avoid a thundering herd after the backoff.
     *
     * @param now The current time in milliseconds.
     * @return The number of slots; 0 if the target is in backoff or accepts no requests.
     */
    int offered(long now) {
        if (!acceptsRequests || now < backoffUntil) {
            return 0;
        }
        return isRecovering() ? 1 : target.slots();
    }

    /** {@return the number of allocated slots over all routers} */
    int taken() {
        int sum = 0;
        for (RouterAllocation allocation : allocations.values()) {
            sum += allocation.taken();
        }
        return sum;
    }

    /** {@return the number of slots lent to routers} */
    int lent() {
        int sum = 0;
        for (RouterAllocation allocation : allocations.values()) {
            sum += allocation.totals(SlotClass.ANY).outstanding();
        }
        return sum;
    }
}
