package org.martenwell.router;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.martenwell.configuration.ActiveConfiguration;
import org.martenwell.configuration.Target;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.schedule.Assignment;
import org.martenwell.schedule.CoordinatorReference;
import org.martenwell.schedule.PrefixThenLeastLoaded;
import org.martenwell.schedule.RouterSlots;
import org.martenwell.schedule.SchedulingParameters;
import org.martenwell.schedule.ServiceCounters;
import org.martenwell.schedule.ServiceReport;
import org.martenwell.schedule.Slot;
import org.martenwell.schedule.SlotCoordinator;
import org.martenwell.schedule.SlotGrants;
import org.martenwell.schedule.SlotReport;
import org.martenwell.schedule.WaitingRequest;

/**
 * Runs the scheduling of one router on its event loop: the queue of its own requests and, as
 * coordinator, the slots of some targets. Not thread-safe.
 */
public final class FleetScheduler {

    /**
     * Maximum number of report and grant exchanges within this router before the event loop
     * continues with other tasks.
     */
    private static final int MAX_LOCAL_ROUNDS = 16;

    private final NioReactor reactor;

    private final String name;

    private final MessageSender sender;

    /** Service received by each organisation over the fleet. */
    private final ServiceCounters counters;

    private final SlotCoordinator coordinator;

    private final RouterSlots slots;

    /** Promises of requests that wait for a slot, by request number. */
    private final Map<Long, SettablePromise<Assignment>> pending = new HashMap<>();

    private ContractTerms terms;

    private boolean exchangeScheduled;

    /**
     * Creates a scheduler without targets.
     *
     * @param reactor The event loop.
     * @param name This router's name.
     * @param incarnation This router's incarnation.
     * @param parameters The scheduling parameters.
     * @param sender The sender of messages to peers.
     */
    public FleetScheduler(
            NioReactor reactor,
            String name,
            long incarnation,
            SchedulingParameters parameters,
            MessageSender sender) {
        this.reactor = reactor;
        this.name = name;
        this.sender = sender;
        counters = new ServiceCounters(name, incarnation);
        coordinator =
                new SlotCoordinator(name, incarnation, parameters, counters, GrantLog.INSTANCE);
        slots = new RouterSlots(name, incarnation, parameters, PrefixThenLeastLoaded.INSTANCE);
    }

    /**
     * Applies the contracts of a configuration. Must be called before the first request.
     *
     * @param configuration The active configuration.
     */
    public void configure(ActiveConfiguration configuration) {
        terms = new ContractTerms(configuration);
        coordinator.setTerms(terms);
    }

    /**
     * Replaces the targets, their coordinators and the members.
     *
     * @param targets All targets.
     * @param coordinators The coordinator of each target, by target name.
     * @param members The names of all members, including this router.
     */
    public void assign(
            List<Target> targets,
            Map<String, CoordinatorReference> coordinators,
            Set<String> members) {
        List<Target> coordinated =
                targets.stream()
                        .filter(target -> coordinators.containsKey(target.name()))
                        .filter(target -> coordinators.get(target.name()).name().equals(name))
                        .toList();
        coordinator.assign(coordinated, members, reactor.currentTimeMillis());
        slots.assign(targets, coordinators);
        scheduleExchange();
    }

    /**
     * Sets whether a target accepts new requests.
     *
     * @param target The target's name.
     * @param acceptsRequests {@code false} if the target is draining or unavailable.
     */
    public void setAcceptsRequests(String target, boolean acceptsRequests) {
        coordinator.setAcceptsRequests(target, acceptsRequests);
        slots.setAcceptsRequests(target, acceptsRequests);
        scheduleExchange();
    }

    /**
     * Takes an idle lent slot, if no request waits for the same pool.
     *
     * @param request The request.
     * @return The assignment, or empty if the request has to wait.
     */
    public Optional<Assignment> takeLent(WaitingRequest request) {
        Optional<Assignment> assignment = slots.takeLent(request);
        assignment.ifPresent(any -> scheduleExchange());
        return assignment;
    }

    /**
     * Queues a request until a slot is free.
     *
     * @param request The request.
     * @param limitMillis The maximum time to wait, in milliseconds.
     * @return The assignment. Fails with {@link ErrorKind#WAIT_TOO_LONG} after {@code limitMillis}.
     */
    public Promise<Assignment> awaitSlot(WaitingRequest request, long limitMillis) {
        SettablePromise<Assignment> promise = new SettablePromise<>();
        pending.put(request.number(), promise);
        slots.enqueue(request);
        reactor.delayBackground(limitMillis, () -> expire(request, limitMillis));
        scheduleExchange();
        return promise;
    }

    /**
     * Releases a slot.
     *
     * @param slot The slot.
     * @param failed {@code true} if the target failed.
     */
    public void release(Slot slot, boolean failed) {
        slots.release(slot, failed);
        scheduleExchange();
    }

    /**
     * Adds service that a target delivered through this router.
     *
     * @param organisation The organisation that received the service.
     * @param units The service in units, not divided by the organisation's weight.
     */
    public void recordService(String organisation, double units) {
        counters.add(organisation, units / terms.weight(organisation));
    }

    /**
     * Processes a router's report to this coordinator.
     *
     * @param report The report.
     */
    public void receive(SlotReport report) {
        coordinator.receive(report, reactor.currentTimeMillis());
        scheduleExchange();
    }

    /**
     * Processes a coordinator's grants to this router.
     *
     * @param grants The grants.
     */
    public void receive(SlotGrants grants) {
        completePending(slots.receive(grants));
        scheduleExchange();
    }

    /**
     * Merges a peer's service counters.
     *
     * @param report The counters.
     */
    public void receive(ServiceReport report) {
        counters.receive(report);
    }

    /**
     * Clears the slots granted by peers that are no longer members.
     *
     * @param peers The names of the peers.
     */
    public void removeMembers(Collection<String> peers) {
        peers.forEach(counters::removeMember);
    }

    /**
     * Sends the complete state to a peer after a connection to it was opened.
     *
     * @param peer The peer's name.
     */
    public void peerConnected(String peer) {
        slots.requireCompleteReport(peer);
        sender.send(peer, counters.completeReport());
        for (ServiceReport report : counters.peerReports()) {
            sender.send(peer, report);
        }
        scheduleExchange();
    }

    /** Sends changed counters to all peers. Called periodically. */
    public void exchangeCounters() {
        broadcastCounters(counters.takeChanges());
    }

    /**
     * Resends unacknowledged grants and refreshes the reports to coordinators. Called periodically.
     */
    public void maintain() {
        coordinator.maintain(reactor.currentTimeMillis());
        scheduleExchange();
    }

    /** {@return the service received by each organisation} */
    public ServiceCounters counters() {
        return counters;
    }

    /** {@return the waiting requests and the slots of this router} */
    public RouterSlots slots() {
        return slots;
    }

    /** {@return the coordinator of the targets that this router coordinates} */
    public SlotCoordinator coordinator() {
        return coordinator;
    }

    /** Schedules one exchange after the events that the loop processes now. */
    private void scheduleExchange() {
        if (!exchangeScheduled) {
            exchangeScheduled = true;
            reactor.postLast(this::exchange);
        }
    }

    /** Exchanges reports and grants: directly within this router, by messages with peers. */
    private void exchange() {
        exchangeScheduled = false;
        long now = reactor.currentTimeMillis();
        boolean repeat = true;
        for (int round = 0; repeat && round < MAX_LOCAL_ROUNDS; round++) {
            repeat = false;
            for (Map.Entry<CoordinatorReference, SlotReport> entry :
                    slots.takeReports(now).entrySet()) {
                if (entry.getKey().name().equals(name)) {
                    coordinator.receive(entry.getValue(), now);
                } else {
                    sender.send(entry.getKey().name(), entry.getValue());
                }
            }
            for (Map.Entry<String, SlotGrants> entry : coordinator.allocate(now).entrySet()) {
                if (entry.getKey().equals(name)) {
                    completePending(slots.receive(entry.getValue()));
                    repeat = true;
                } else {
                    sender.send(entry.getKey(), entry.getValue());
                }
            }
        }
        broadcastCounters(counters.takeGrantChanges());
    }

    private void broadcastCounters(ServiceReport report) {
        if (!report.entries().isEmpty()) {
            sender.broadcast(report);
        }
    }

    private void completePending(List<Assignment> assignments) {
        for (Assignment assignment : assignments) {
            SettablePromise<Assignment> promise = pending.remove(assignment.request().number());
            reactor.post(() -> promise.set(assignment));
        }
    }

    /** Fails a request that still waits after its limit. */
    private void expire(WaitingRequest request, long limitMillis) {
        if (slots.withdraw(request)) {
            scheduleExchange();
            pending.remove(request.number())
                    .setException(
                            MartenwellException.of(
                                    ErrorKind.WAIT_TOO_LONG,
                                    "No slot was free within " + limitMillis + " ms."));
        }
    }
}
