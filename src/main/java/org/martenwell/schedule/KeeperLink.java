package org.martenwell.schedule;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** What a router has told one keeper incarnation and what it has yet to tell. */
final class KeeperLink {

    /** The slots whose totals changed. */
    private final Set<GrantKey> changedSlots = new LinkedHashSet<>();

    /** The targets whose failures changed. */
    private final Set<String> changedFailures = new LinkedHashSet<>();

    /** The queues that may have changed. */
    private final Set<QueueKey> changedQueues = new LinkedHashSet<>();

    /** What was told of each queue. */
    private final Map<QueueKey, ToldDemand> told = new HashMap<>();

    /** {@code true} if the next report is to be complete. */
    private boolean completeDue = true;

    /** When the last complete report was made. */
    private long completedAt;

    /** Creates a link over which nothing was told. */
    KeeperLink() {}

    /**
     * Notes that the totals of a class changed.
     *
     * @param key The target and class.
     */
    void slotChanged(GrantKey key) {
        changedSlots.add(key);
    }

    /**
     * Notes that a request failed.
     *
     * @param target The target.
     */
    void failuresChanged(String target) {
        changedFailures.add(target);
    }

    /**
     * Notes that a queue changed.
     *
     * @param key The queue.
     */
    void queueChanged(QueueKey key) {
        changedQueues.add(key);
    }

    /** Makes the next report complete. */
    void requireComplete() {
        completeDue = true;
    }

    /**
     * Returns whether the next report is to be complete.
     *
     * @param now The time.
     * @param refreshMillis How often everything is repeated, in milliseconds.
     * @return {@code true} if it is.
     */
    boolean completeDue(long now, long refreshMillis) {
        return completeDue || now - completedAt >= refreshMillis;
    }

    /**
     * Notes that a complete report was made.
     *
     * @param now The time.
     */
    void completed(long now) {
        completeDue = false;
        completedAt = now;
        changedSlots.clear();
        changedFailures.clear();
        changedQueues.clear();
        told.clear();
    }

    /**
     * Takes the slots whose totals changed.
     *
     * @return The targets and classes.
     */
    Set<GrantKey> takeChangedSlots() {
        Set<GrantKey> taken = new LinkedHashSet<>(changedSlots);
        changedSlots.clear();
        return taken;
    }

    /**
     * Takes the targets whose failures changed.
     *
     * @return The targets.
     */
    Set<String> takeChangedFailures() {
        Set<String> taken = new LinkedHashSet<>(changedFailures);
        changedFailures.clear();
        return taken;
    }

    /**
     * Takes the queues that may have changed.
     *
     * @return The queues.
     */
    Set<QueueKey> takeChangedQueues() {
        Set<QueueKey> taken = new LinkedHashSet<>(changedQueues);
        changedQueues.clear();
        return taken;
    }

    /**
     * Returns what was told of a queue.
     *
     * @param key The queue.
     * @return What was told.
     */
    ToldDemand told(QueueKey key) {
        return told.getOrDefault(key, ToldDemand.NOTHING);
    }

    /**
     * Notes what is told of a queue.
     *
     * @param key The queue.
     * @param demand What is told.
     */
    void tell(QueueKey key, ToldDemand demand) {
        told.put(key, demand);
    }
}
