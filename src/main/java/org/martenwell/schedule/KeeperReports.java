package org.martenwell.schedule;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.martenwell.configuration.Pool;
import org.martenwell.configuration.Target;

/** Tells keepers what changed of one router's queues and slots, and now and then everything. */
final class KeeperReports {

    /** The router's name. */
    private final String name;

    /** The router's incarnation. */
    private final long incarnation;

    /** The numbers that tune scheduling. */
    private final SchedulingParameters parameters;

    /** The requests that wait. */
    private final QueueTable queues;

    /** The slots. */
    private final HeldSlots slots;

    /** What the keepers were told. */
    private final Map<KeeperReference, KeeperLink> links = new LinkedHashMap<>();

    /** The keeper of each target. */
    private Map<String, KeeperReference> keepers = Map.of();

    /** The targets of each pool. */
    private Map<Pool, List<Target>> pools = Map.of();

    /**
     * The number of the last report, to whichever keeper, so that it grows whoever keeps a target.
     */
    private long sequence;

    /**
     * Creates reports to no keeper.
     *
     * @param name The router's name.
     * @param incarnation The router's incarnation.
     * @param parameters The numbers that tune scheduling.
     * @param queues The requests that wait.
     * @param slots The slots.
     */
    KeeperReports(
            String name,
            long incarnation,
            SchedulingParameters parameters,
            QueueTable queues,
            HeldSlots slots) {
        this.name = name;
        this.incarnation = incarnation;
        this.parameters = parameters;
        this.queues = queues;
        this.slots = slots;
    }

    /**
     * Changes the keepers. Each is told everything.
     *
     * @param assignment The keeper of each target, by target.
     * @param targets The targets of each pool.
     */
    void assign(Map<String, KeeperReference> assignment, Map<Pool, List<Target>> targets) {
        keepers = Map.copyOf(assignment);
        pools = targets;
        links.keySet().retainAll(keepers.values());
        for (KeeperReference keeper : keepers.values()) {
            links.computeIfAbsent(keeper, key -> new KeeperLink()).requireComplete();
        }
    }

    /**
     * Makes the next report to a keeper complete.
     *
     * @param keeper The keeper.
     */
    void requireComplete(KeeperReference keeper) {
        if (links.containsKey(keeper)) {
            links.get(keeper).requireComplete();
        }
    }

    /**
     * Makes the next report to every life of a keeper complete.
     *
     * @param keeper The keeper's name.
     */
    void requireComplete(String keeper) {
        for (Map.Entry<KeeperReference, KeeperLink> entry : links.entrySet()) {
            if (entry.getKey().name().equals(keeper)) {
                entry.getValue().requireComplete();
            }
        }
    }

    /**
     * Notes that a queue changed, for the keepers of its pool's targets.
     *
     * @param key The queue.
     */
    void queueChanged(QueueKey key) {
        for (Target target : pools.getOrDefault(key.pool(), List.of())) {
            link(target.name()).ifPresent(link -> link.queueChanged(key));
        }
    }

    /**
     * Notes that slots of one class changed, for the target's keeper.
     *
     * @param target The target's name.
     * @param slotClass The class.
     */
    void slotChanged(String target, String slotClass) {
        link(target).ifPresent(link -> link.slotChanged(new GrantKey(target, slotClass)));
    }

    /**
     * Notes that a request failed, for the target's keeper.
     *
     * @param target The target's name.
     */
    void failuresChanged(String target) {
        link(target).ifPresent(link -> link.failuresChanged(target));
    }

    /**
     * Returns what keepers have to be told now.
     *
     * @param now The time.
     * @return The reports by keeper; keepers with no news are left out.
     */
    Map<KeeperReference, SlotReport> take(long now) {
        Map<KeeperReference, SlotReport> reports = new LinkedHashMap<>();
        for (Map.Entry<KeeperReference, KeeperLink> entry : links.entrySet()) {
            KeeperReference keeper = entry.getKey();
            KeeperLink link = entry.getValue();
            if (link.completeDue(now, parameters.refreshMillis())) {
                reports.put(keeper, complete(keeper, link, now));
            } else {
                changes(keeper, link, now).ifPresent(report -> reports.put(keeper, report));
            }
        }
        return reports;
    }

    /**
     * Finds what the keeper of a target was told.
     *
     * @param target The target's name.
     * @return What was told.
     */
    private Optional<KeeperLink> link(String target) {
        return Optional.ofNullable(keepers.get(target)).map(links::get);
    }

    /**
     * Builds a report of everything.
     *
     * @param keeper The keeper.
     * @param link What it was told.
     * @param now The time.
     * @return The report.
     */
    private SlotReport complete(KeeperReference keeper, KeeperLink link, long now) {
        link.completed(now);
        List<Demand> demands = new ArrayList<>();
        for (QueueKey key : queues.keys()) {
            if (concerns(keeper, key.pool())) {
                ToldDemand current = queues.demand(key, parameters.demandLimit());
                link.tell(key, current);
                demands.add(current.message(key, now));
            }
        }
        List<Holding> holdings = new ArrayList<>();
        List<FailureCount> failures = new ArrayList<>();
        for (HeldShare share : slots.all()) {
            if (share.keeper().equals(keeper)) {
                holdings.addAll(slots.holdings(share));
                slots.failures(share.target().name()).ifPresent(failures::add);
            }
        }
        return report(keeper, true, demands, holdings, failures);
    }

    /**
     * Builds a report of what changed.
     *
     * @param keeper The keeper.
     * @param link What it was told.
     * @param now The time.
     * @return The report or empty if there is no news.
     */
    private Optional<SlotReport> changes(KeeperReference keeper, KeeperLink link, long now) {
        List<Demand> demands = new ArrayList<>();
        for (QueueKey key : link.takeChangedQueues()) {
            ToldDemand current = queues.demand(key, parameters.demandLimit());
            if (link.told(key).differs(current, parameters.headChangeMillis())) {
                link.tell(key, current);
                demands.add(current.message(key, now));
            }
        }
        List<Holding> holdings = new ArrayList<>();
        for (GrantKey key : link.takeChangedSlots()) {
            holdings.add(slots.holding(key));
        }
        List<FailureCount> failures = new ArrayList<>();
        for (String target : link.takeChangedFailures()) {
            slots.failures(target).ifPresent(failures::add);
        }
        if (demands.isEmpty() && holdings.isEmpty() && failures.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(report(keeper, false, demands, holdings, failures));
    }

    /**
     * Builds a report.
     *
     * @param keeper The keeper.
     * @param complete {@code true} if the report lists everything.
     * @param demands The queues.
     * @param holdings The slots.
     * @param failures The failures.
     * @return The report.
     */
    private SlotReport report(
            KeeperReference keeper,
            boolean complete,
            List<Demand> demands,
            List<Holding> holdings,
            List<FailureCount> failures) {
        sequence++;
        return new SlotReport(
                name,
                incarnation,
                keeper.incarnation(),
                sequence,
                complete,
                demands,
                holdings,
                failures);
    }

    /**
     * Returns whether a keeper keeps any target of a pool.
     *
     * @param keeper The keeper.
     * @param pool The pool.
     * @return {@code true} if it does.
     */
    private boolean concerns(KeeperReference keeper, Pool pool) {
        return pools.getOrDefault(pool, List.of()).stream()
                .anyMatch(target -> keeper.equals(keepers.get(target.name())));
    }
}
