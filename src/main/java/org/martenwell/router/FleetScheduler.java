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

/** Runs the scheduling decisions of one router in its loop: as router and as keeper. */
public final class FleetScheduler {

    /** How many rounds this router's own reports and grants are exchanged at once. */
    private static final int MAX_ROUNDS = 16;

    /** The loop. */
    private final NioReactor reactor;

    /** This router's name. */
    private final String name;

    /** Sends messages to peers. */
    private final MessageSender sender;

    /** The service of all organisations. */
    private final ServiceCounters counters;

    /** Hands out the slots of the targets kept here. */
    private final SlotCoordinator coordinator;

    /** The waiting requests and slots of this router. */
    private final RouterSlots slots;

    /** The callers that wait for a slot, by the request's number. */
    private final Map<Long, SettablePromise<Assignment>> pending = new HashMap<>();

    /** The terms of contracts. */
    private ContractTerms terms;

    /** {@code true} while an exchange is due in the loop. */
    private boolean exchangeDue;

    /**
     * Creates a scheduler without targets.
     *
     * @param reactor The loop.
     * @param name This router's name.
     * @param incarnation This router's incarnation.
     * @param parameters The numbers that tune scheduling.
     * @param sender Sends messages to peers.
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
     * Changes the terms of contracts.
     *
     * @param configuration The configuration in force.
     */
    public void configure(ActiveConfiguration configuration) {
        terms = new ContractTerms(configuration);
        coordinator.terms(terms);
    }

    /**
     * Changes the targets, their keepers and the members.
     *
     * @param targets All targets.
     * @param coordinators The keeper of each target, by target.
     * @param members The names of all members, this router included.
     */
    public void assign(
            List<Target> targets,
            Map<String, CoordinatorReference> coordinators,
            Set<String> members) {
        List<Target> kept =
                targets.stream()
                        .filter(target -> coordinators.containsKey(target.name()))
                        .filter(target -> coordinators.get(target.name()).name().equals(name))
                        .toList();
        coordinator.assign(kept, members, reactor.currentTimeMillis());
        slots.assign(targets, coordinators);
        exchangeSoon();
    }

    /**
     * Says whether a target takes new work.
     *
     * @param target The target's name.
     * @param takesWork {@code false} if it is leaving or away.
     */
    public void setAcceptsRequests(String target, boolean takesWork) {
        coordinator.setAcceptsRequests(target, takesWork);
        slots.setAcceptsRequests(target, takesWork);
        exchangeSoon();
    }

    /**
     * Takes a lent slot, if nobody waits for the same pool and one is idle.
     *
     * @param request The request.
     * @return The assignment or a promise that is not complete if it has to wait.
     */
    public Optional<Assignment> takeLent(WaitingRequest request) {
        Optional<Assignment> assignment = slots.takeLent(request);
        assignment.ifPresent(any -> exchangeSoon());
        return assignment;
    }

    /**
     * Waits for a slot.
     *
     * @param request The request.
     * @param limitMillis How long to wait at most, in milliseconds.
     * @return The assignment.
     */
    public Promise<Assignment> await(WaitingRequest request, long limitMillis) {
        SettablePromise<Assignment> promise = new SettablePromise<>();
        pending.put(request.number(), promise);
        slots.enqueue(request);
        reactor.delayBackground(limitMillis, () -> giveUp(request, limitMillis));
        exchangeSoon();
        return promise;
    }

    /**
     * Ends the use of a slot and gives it back.
     *
     * @param slot The slot.
     * @param failed {@code true} if the target failed.
     */
    public void finish(Slot slot, boolean failed) {
        slots.finish(slot, failed);
        exchangeSoon();
    }

    /**
     * Counts service that a target delivered through this router.
     *
     * @param organisation The organisation served.
     * @param units The service in units, not weighted.
     */
    public void served(String organisation, double units) {
        counters.add(organisation, units / terms.weight(organisation));
    }

    /**
     * Takes in a router's report to this keeper.
     *
     * @param report The report.
     */
    public void received(SlotReport report) {
        coordinator.receive(report, reactor.currentTimeMillis());
        exchangeSoon();
    }

    /**
     * Takes in a keeper's grants to this router.
     *
     * @param grants The grants.
     */
    public void received(SlotGrants grants) {
        settle(slots.receive(grants));
        exchangeSoon();
    }

    /**
     * Takes in a peer's counters.
     *
     * @param report The counters.
     */
    public void received(ServiceReport report) {
        counters.receive(report);
    }

    /**
     * Forgets what peers that are no longer members hold.
     *
     * @param removed The peers' names.
     */
    public void removed(Collection<String> removed) {
        removed.forEach(counters::removeMember);
    }

    /**
     * Repeats everything to a peer, because a connection to it opened.
     *
     * @param peer The peer's name.
     */
    public void connected(String peer) {
        slots.requireCompleteReport(peer);
        sender.send(peer, counters.completeReport());
        for (ServiceReport report : counters.peerReports()) {
            sender.send(peer, report);
        }
        exchangeSoon();
    }

    /** Tells all peers the counters that changed. To be called now and then. */
    public void exchangeCounters() {
        tellPeers(counters.takeChanges());
    }

    /** Repeats grants that were lost and refreshes what keepers know. To be called now and then. */
    public void maintain() {
        coordinator.maintain(reactor.currentTimeMillis());
        exchangeSoon();
    }

    /**
     * Returns the service of all organisations.
     *
     * @return The counters.
     */
    public ServiceCounters counters() {
        return counters;
    }

    /**
     * Returns the waiting requests and slots of this router.
     *
     * @return The slots.
     */
    public RouterSlots slots() {
        return slots;
    }

    /**
     * Returns the keeper of this router.
     *
     * @return The keeper.
     */
    public SlotCoordinator coordinator() {
        return coordinator;
    }

    /** Lets the loop exchange reports and grants once it has done what is due. */
    private void exchangeSoon() {
        if (!exchangeDue) {
            exchangeDue = true;
            reactor.postLast(this::exchange);
        }
    }

    /** Exchanges reports and grants, within this router at once and with peers by messages. */
    private void exchange() {
        exchangeDue = false;
        long now = reactor.currentTimeMillis();
        boolean again = true;
        for (int round = 0; again && round < MAX_ROUNDS; round++) {
            again = false;
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
                    settle(slots.receive(entry.getValue()));
                    again = true;
                } else {
                    sender.send(entry.getKey(), entry.getValue());
                }
            }
        }
        tellPeers(counters.takeGrantChanges());
    }

    /**
     * Tells all peers of changed counters.
     *
     * @param report The counters.
     */
    private void tellPeers(ServiceReport report) {
        if (!report.entries().isEmpty()) {
            sender.broadcast(report);
        }
    }

    /**
     * Hands slots to the requests that waited for them.
     *
     * @param assignments The requests and their slots.
     */
    private void settle(List<Assignment> assignments) {
        for (Assignment assignment : assignments) {
            SettablePromise<Assignment> promise = pending.remove(assignment.request().number());
            reactor.post(() -> promise.set(assignment));
        }
    }

    /**
     * Gives up a request that waited too long.
     *
     * @param request The request.
     * @param limitMillis How long it waited, in milliseconds.
     */
    private void giveUp(WaitingRequest request, long limitMillis) {
        if (slots.withdraw(request)) {
            exchangeSoon();
            pending.remove(request.number())
                    .setException(
                            MartenwellException.of(
                                    ErrorKind.WAIT_TOO_LONG,
                                    "No slot was free within " + limitMillis + " ms."));
        }
    }
}
