package org.martenwell.schedule;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.martenwell.configuration.Pool;
import org.martenwell.configuration.Target;

/**
 * Collects the changes of one router's queues and slots, and builds the reports to coordinators.
 * Complete reports are sent periodically to make up for lost ones.
 */
final class CoordinatorReports {

    private final String routerName;

    private final long incarnation;

    private final SchedulingParameters parameters;

    private final QueueTable queues;

    private final HeldSlots slots;

    /** State of the reports to each coordinator. */
    private final Map<CoordinatorReference, ReportState> reportStates = new LinkedHashMap<>();

    /** Coordinators by target name. */
    private Map<String, CoordinatorReference> coordinators = Map.of();

    /** Targets by pool. */
    private Map<Pool, List<Target>> targetsByPool = Map.of();

    /**
     * Sequence number of the last report to any coordinator. All coordinators share one sequence,
     * so that it keeps increasing when a target changes its coordinator.
     */
    private long sequence;

    /**
     * Creates an instance without coordinators.
     *
     * @param routerName The router's name.
     * @param incarnation The router's incarnation.
     * @param parameters The scheduling parameters.
     * @param queues The router's queues.
     * @param slots The router's slots.
     */
    CoordinatorReports(
            String routerName,
            long incarnation,
            SchedulingParameters parameters,
            QueueTable queues,
            HeldSlots slots) {
        this.routerName = routerName;
        this.incarnation = incarnation;
        this.parameters = parameters;
        this.queues = queues;
        this.slots = slots;
    }

    /**
     * Sets the coordinators. Each one receives a complete report next.
     *
     * @param assignment The coordinators by target name.
     * @param targets The targets by pool.
     */
    void assign(Map<String, CoordinatorReference> assignment, Map<Pool, List<Target>> targets) {
        coordinators = Map.copyOf(assignment);
        targetsByPool = targets;
        reportStates.keySet().retainAll(coordinators.values());
        for (CoordinatorReference coordinator : coordinators.values()) {
            reportStates.computeIfAbsent(coordinator, key -> new ReportState()).requireComplete();
        }
    }

    /**
     * Makes the next report to a coordinator complete. Has no effect if it coordinates no target.
     *
     * @param coordinator The coordinator.
     */
    void requireComplete(CoordinatorReference coordinator) {
        if (reportStates.containsKey(coordinator)) {
            reportStates.get(coordinator).requireComplete();
        }
    }

    /**
     * Makes the next report to all incarnations of a coordinator complete.
     *
     * @param coordinator The coordinator's name.
     */
    void requireComplete(String coordinator) {
        for (Map.Entry<CoordinatorReference, ReportState> entry : reportStates.entrySet()) {
            if (entry.getKey().name().equals(coordinator)) {
                entry.getValue().requireComplete();
            }
        }
    }

    /**
     * Marks a queue as changed for the coordinators of its pool's targets.
     *
     * @param key The queue.
     */
    void queueChanged(QueueKey key) {
        for (Target target : targetsByPool.getOrDefault(key.pool(), List.of())) {
            reportState(target.name()).ifPresent(reportState -> reportState.queueChanged(key));
        }
    }

    /**
     * Marks a slot class as changed for the target's coordinator.
     *
     * @param target The target's name.
     * @param slotClass The slot class.
     */
    void slotChanged(String target, String slotClass) {
        reportState(target)
                .ifPresent(
                        reportState ->
                                reportState.slotChanged(new SlotClassKey(target, slotClass)));
    }

    /**
     * Marks a target's failure count as changed for its coordinator.
     *
     * @param target The target's name.
     */
    void failuresChanged(String target) {
        reportState(target).ifPresent(reportState -> reportState.failuresChanged(target));
    }

    /**
     * Takes the pending reports.
     *
     * @param now The current time in milliseconds.
     * @return The reports by coordinator; coordinators without changes are absent.
     */
    Map<CoordinatorReference, SlotReport> take(long now) {
        Map<CoordinatorReference, SlotReport> reports = new LinkedHashMap<>();
        for (Map.Entry<CoordinatorReference, ReportState> entry : reportStates.entrySet()) {
            CoordinatorReference coordinator = entry.getKey();
            ReportState reportState = entry.getValue();
            if (reportState.completeReportDue(now, parameters.completeReportIntervalMillis())) {
                reports.put(coordinator, buildCompleteReport(coordinator, reportState, now));
            } else {
                buildChangeReport(coordinator, reportState, now)
                        .ifPresent(report -> reports.put(coordinator, report));
            }
        }
        return reports;
    }

    private Optional<ReportState> reportState(String target) {
        return Optional.ofNullable(coordinators.get(target)).map(reportStates::get);
    }

    /**
     * Builds a report of all queues, slots and failures that concern a coordinator.
     *
     * @param coordinator The coordinator.
     * @param reportState The state of the reports to the coordinator.
     * @param now The current time in milliseconds.
     * @return The report.
     */
    private SlotReport buildCompleteReport(
            CoordinatorReference coordinator, ReportState reportState, long now) {
        reportState.recordCompleteReport(now);
        List<Demand> demands = new ArrayList<>();
        for (QueueKey key : queues.keys()) {
            if (coordinatesPool(coordinator, key.pool())) {
                QueueState current = queues.state(key, parameters.maxReportedWaiting());
                reportState.recordReported(key, current);
                demands.add(current.toDemand(key, now));
            }
        }
        List<Holding> holdings = new ArrayList<>();
        List<FailureCount> failures = new ArrayList<>();
        for (TargetSlots targetSlots : slots.all()) {
            if (targetSlots.coordinator().equals(coordinator)) {
                holdings.addAll(slots.holdings(targetSlots));
                slots.failureCount(targetSlots.target().name()).ifPresent(failures::add);
            }
        }
        return newReport(coordinator, true, demands, holdings, failures);
    }

    /**
     * Builds a report of the changes since the last report.
     *
     * @param coordinator The coordinator.
     * @param reportState The state of the reports to the coordinator.
     * @param now The current time in milliseconds.
     * @return The report, or empty if nothing changed.
     */
    private Optional<SlotReport> buildChangeReport(
            CoordinatorReference coordinator, ReportState reportState, long now) {
        List<Demand> demands = new ArrayList<>();
        for (QueueKey key : reportState.takeChangedQueues()) {
            QueueState current = queues.state(key, parameters.maxReportedWaiting());
            if (reportState
                    .reported(key)
                    .needsReport(current, parameters.headShiftToleranceMillis())) {
                reportState.recordReported(key, current);
                demands.add(current.toDemand(key, now));
            }
        }
        List<Holding> holdings = new ArrayList<>();
        for (SlotClassKey key : reportState.takeChangedSlots()) {
            holdings.add(slots.holding(key));
        }
        List<FailureCount> failures = new ArrayList<>();
        for (String target : reportState.takeChangedFailures()) {
            slots.failureCount(target).ifPresent(failures::add);
        }
        if (demands.isEmpty() && holdings.isEmpty() && failures.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(newReport(coordinator, false, demands, holdings, failures));
    }

    /**
     * Creates a report with the next sequence number.
     *
     * @param coordinator The coordinator.
     * @param complete {@code true} if queues and slots that are not listed are empty.
     * @param demands The queues.
     * @param holdings The slots.
     * @param failures The failure counts.
     * @return The report.
     */
    private SlotReport newReport(
            CoordinatorReference coordinator,
            boolean complete,
            List<Demand> demands,
            List<Holding> holdings,
            List<FailureCount> failures) {
        sequence++;
        return new SlotReport(
                routerName,
                incarnation,
                coordinator.incarnation(),
                sequence,
                complete,
                demands,
                holdings,
                failures);
    }

    private boolean coordinatesPool(CoordinatorReference coordinator, Pool pool) {
        return targetsByPool.getOrDefault(pool, List.of()).stream()
                .anyMatch(target -> coordinator.equals(coordinators.get(target.name())));
    }
}
