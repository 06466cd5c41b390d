package org.martenwell.schedule;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Changes that a router has yet to report to one coordinator incarnation, and the queue states
 * reported last.
 */
final class ReportState {

    /** Slot classes whose totals changed. */
    private final Set<SlotClassKey> changedSlots = new LinkedHashSet<>();

    /** Targets whose failure counts changed. */
    private final Set<String> changedFailures = new LinkedHashSet<>();

    /** Queues that may have changed. */
    private final Set<QueueKey> changedQueues = new LinkedHashSet<>();

    /** Queue states reported last. */
    private final Map<QueueKey, QueueState> reported = new HashMap<>();

    private boolean completeReportDue = true;

    private long lastCompleteReportAt;

    /** Creates a state in which a complete report is due. */
    ReportState() {}

    /**
     * Marks the totals of a slot class as changed.
     *
     * @param key The target and slot class.
     */
    void slotChanged(SlotClassKey key) {
        changedSlots.add(key);
    }

    /**
     * Marks the failure count of a target as changed.
     *
     * @param target The target's name.
     */
    void failuresChanged(String target) {
        changedFailures.add(target);
    }

    /**
     * Marks a queue as changed.
     *
     * @param key The queue.
     */
    void queueChanged(QueueKey key) {
        changedQueues.add(key);
    }

    /** Makes the next report complete. */
    void requireComplete() {
        completeReportDue = true;
    }

    /**
     * Checks whether the next report has to be complete, because it was requested or the interval
     * has passed.
     *
     * @param now The current time in milliseconds.
     * @param completeReportIntervalMillis The interval between complete reports in milliseconds.
     * @return {@code true} if a complete report is due.
     */
    boolean completeReportDue(long now, long completeReportIntervalMillis) {
        return completeReportDue || now - lastCompleteReportAt >= completeReportIntervalMillis;
    }

    /**
     * Records that a complete report is sent, which includes all pending changes.
     *
     * @param now The current time in milliseconds.
     */
    void recordCompleteReport(long now) {
        completeReportDue = false;
        lastCompleteReportAt = now;
        changedSlots.clear();
        changedFailures.clear();
        changedQueues.clear();
        reported.clear();
    }

    /**
     * Removes and returns the slot classes whose totals changed.
     *
     * @return The targets and slot classes.
     */
    Set<SlotClassKey> takeChangedSlots() {
        Set<SlotClassKey> changes = new LinkedHashSet<>(changedSlots);
        changedSlots.clear();
        return changes;
    }

    /**
     * Removes and returns the targets whose failure counts changed.
     *
     * @return The names of the targets.
     */
    Set<String> takeChangedFailures() {
        Set<String> changes = new LinkedHashSet<>(changedFailures);
        changedFailures.clear();
        return changes;
    }

    /**
     * Removes and returns the queues that may have changed.
     *
     * @return The queues.
     */
    Set<QueueKey> takeChangedQueues() {
        Set<QueueKey> changes = new LinkedHashSet<>(changedQueues);
        changedQueues.clear();
        return changes;
    }

    /**
     * Returns the state of a queue that was reported last.
     *
     * @param key The queue.
     * @return The state, or {@link QueueState#EMPTY} if none was reported.
     */
    QueueState reported(QueueKey key) {
        return reported.getOrDefault(key, QueueState.EMPTY);
    }

    /**
     * Records the state of a queue that is being reported.
     *
     * @param key The queue.
     * @param state The state.
     */
    void recordReported(QueueKey key, QueueState state) {
        reported.put(key, state);
    }
}
