package org.martenwell.schedule;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.martenwell.configuration.Target;
import org.martenwell.member.CoordinatorAssignment;
import org.martenwell.member.CoordinatorCandidate;

/**
 * Production scheduler of all routers, connected by a network that delays, loses, duplicates or
 * reorders messages.
 */
final class SimulatedFleet implements SimulatedScheduler {

    private static final long RESEND_MILLIS = 1_000;

    private final SimulatedSite site;
    private final SimulatedNetwork network;
    private final Random random;
    private final PriorityQueue<Message> messages =
            new PriorityQueue<>(
                    (first, second) ->
                            first.deliveryTime == second.deliveryTime
                                    ? Long.compare(first.order, second.order)
                                    : Long.compare(first.deliveryTime, second.deliveryTime));
    private final List<Node> nodes = new ArrayList<>();
    private final SchedulingParameters parameters;
    private final Set<Integer> stopped = new HashSet<>();
    private final List<RequestStart> starts = new ArrayList<>();
    private long nextOrder;
    private long incarnation = 1;
    private long now;

    SimulatedFleet(
            SimulatedSite site,
            SimulatedNetwork network,
            SchedulingParameters parameters,
            long seed) {
        this.site = site;
        this.network = network;
        this.parameters = parameters;
        this.random = new Random(seed);
        for (int index = 0; index < site.routers(); index++) {
            nodes.add(new Node(index));
        }
        assign(Set.of());
    }

    /** Assigns coordinators among the routers that are not excluded. */
    void assign(Set<Integer> excluded) {
        List<CoordinatorCandidate> candidates = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Node node : nodes) {
            if (!excluded.contains(node.index)) {
                candidates.add(node.candidate());
                names.add(node.name());
            }
        }
        Map<String, CoordinatorReference> coordinators =
                CoordinatorAssignment.INSTANCE.assign(site.targets(), candidates);
        for (Node node : nodes) {
            List<Target> coordinated = new ArrayList<>(site.targets());
            coordinated.removeIf(
                    target -> !coordinators.get(target.name()).name().equals(node.name()));
            node.coordinator.assign(coordinated, names, now);
            node.slots.assign(site.targets(), coordinators);
        }
    }

    /** Stops a router. */
    void stop(int index) {
        stopped.add(index);
        assign(stopped);
    }

    /** Restarts a router, which loses its state and its requests. */
    void restart(int index) {
        incarnation++;
        nodes.set(index, new Node(index));
        assign(Set.of());
        for (Node node : nodes) {
            nodes.get(index).counters.receive(node.counters.completeReport());
            node.counters.peerReports().forEach(nodes.get(index).counters::receive);
        }
    }

    Node node(int index) {
        return nodes.get(index);
    }

    int nodeCount() {
        return nodes.size();
    }

    @Override
    public void arrived(int router, WaitingRequest request, long time) {
        if (stopped.contains(router)) {
            return;
        }
        RouterSlots slots = nodes.get(router).slots;
        slots.takeLent(request)
                .ifPresentOrElse(
                        assignment -> start(router, assignment), () -> slots.enqueue(request));
    }

    @Override
    public void finished(RequestStart start, long time) {
        nodes.get(start.router()).slots.release((Slot) start.handle(), false);
    }

    @Override
    public void served(int router, String organisation, double units) {
        nodes.get(router).counters.add(organisation, units);
    }

    @Override
    public List<RequestStart> step(long time) {
        now = time;
        while (!messages.isEmpty() && messages.peek().deliveryTime <= now) {
            messages.poll().action.run();
        }
        for (Node node : nodes) {
            if (!stopped.contains(node.index)) {
                node.exchange();
            }
        }
        if (now % network.counterIntervalMillis() == 0) {
            nodes.forEach(Node::broadcastCounters);
        }
        if (now % RESEND_MILLIS == 0) {
            nodes.forEach(node -> node.coordinator.maintain(now));
        }
        List<RequestStart> started = List.copyOf(starts);
        starts.clear();
        return started;
    }

    private void start(int router, Assignment assignment) {
        starts.add(
                new RequestStart(
                        router,
                        assignment.request(),
                        assignment.slot().target().name(),
                        assignment.slot()));
    }

    private void send(int from, int to, Consumer<Node> action) {
        if (from == to) {
            action.accept(nodes.get(to));
            return;
        }
        int copies = random.nextDouble() < network.lossRate() ? 0 : 1;
        copies += random.nextDouble() < network.duplicationRate() ? 1 : 0;
        for (int copy = 0; copy < copies; copy++) {
            long jitter = network.jitterMillis() == 0 ? 0 : random.nextLong(network.jitterMillis());
            nextOrder++;
            messages.add(
                    new Message(
                            now + network.delayMillis() + jitter,
                            nextOrder,
                            () -> deliver(to, action)));
        }
    }

    private void deliver(int to, Consumer<Node> action) {
        if (!stopped.contains(to)) {
            action.accept(nodes.get(to));
        }
    }

    /** Router with its own slots and the coordinator that runs on it. */
    final class Node {

        final int index;
        final ServiceCounters counters;
        final SlotCoordinator coordinator;
        final RouterSlots slots;
        private final long nodeIncarnation = incarnation;

        private Node(int index) {
            this.index = index;
            counters = new ServiceCounters(name(), nodeIncarnation);
            coordinator =
                    new SlotCoordinator(
                            name(), nodeIncarnation, parameters, counters, GrantListener.NO_OP);
            slots =
                    new RouterSlots(
                            name(), nodeIncarnation, parameters, PrefixThenLeastLoaded.INSTANCE);
        }

        String name() {
            return "router" + index;
        }

        private CoordinatorCandidate candidate() {
            return new CoordinatorCandidate(name(), nodeIncarnation, "domain" + index % 3);
        }

        private void exchange() {
            for (Map.Entry<CoordinatorReference, SlotReport> entry :
                    new LinkedHashMap<>(slots.takeReports(now)).entrySet()) {
                int to = Integer.parseInt(entry.getKey().name().substring("router".length()));
                send(index, to, node -> node.coordinator.receive(entry.getValue(), now));
            }
            for (Map.Entry<String, SlotGrants> entry : coordinator.allocate(now).entrySet()) {
                int to = Integer.parseInt(entry.getKey().substring("router".length()));
                send(index, to, node -> node.applyGrants(entry.getValue()));
            }
            if (network.immediateGrantReports()) {
                broadcast(counters.takeGrantChanges());
            }
        }

        private void applyGrants(SlotGrants grants) {
            slots.receive(grants).forEach(assignment -> start(index, assignment));
        }

        private void broadcastCounters() {
            broadcast(counters.takeChanges());
        }

        private void broadcast(ServiceReport report) {
            if (report.entries().isEmpty()) {
                return;
            }
            for (Node other : nodes) {
                if (other != this) {
                    send(index, other.index, node -> node.counters.receive(report));
                }
            }
        }
    }

    private record Message(long deliveryTime, long order, Runnable action) {}
}
