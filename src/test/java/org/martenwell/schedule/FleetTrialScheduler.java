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
import org.martenwell.member.KeeperAssignment;
import org.martenwell.member.KeeperCandidate;

/** The fleet's own objects, with messages that take time and may be lost, doubled or reordered. */
final class FleetTrialScheduler implements TrialScheduler {

    private static final long RESEND_MILLIS = 1_000;

    private final TrialSite site;
    private final TrialNetwork network;
    private final Random random;
    private final PriorityQueue<Message> messages =
            new PriorityQueue<>(
                    (one, two) ->
                            one.at == two.at
                                    ? Long.compare(one.order, two.order)
                                    : Long.compare(one.at, two.at));
    private final List<Node> nodes = new ArrayList<>();
    private final SchedulingParameters parameters;
    private final Set<Integer> dead = new HashSet<>();
    private final List<TrialStart> starts = new ArrayList<>();
    private long order;
    private long incarnation = 1;
    private long now;

    FleetTrialScheduler(
            TrialSite site, TrialNetwork network, SchedulingParameters parameters, long seed) {
        this.site = site;
        this.network = network;
        this.parameters = parameters;
        this.random = new Random(seed);
        for (int index = 0; index < site.routers(); index++) {
            nodes.add(new Node(index));
        }
        assign(Set.of());
    }

    /** Assigns keepers among all routers that are not away. */
    void assign(Set<Integer> away) {
        List<KeeperCandidate> candidates = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Node node : nodes) {
            if (!away.contains(node.index)) {
                candidates.add(node.candidate());
                names.add(node.name());
            }
        }
        Map<String, KeeperReference> keepers =
                KeeperAssignment.INSTANCE.assign(site.targets(), candidates);
        for (Node node : nodes) {
            List<Target> kept = new ArrayList<>(site.targets());
            kept.removeIf(each -> !keepers.get(each.name()).name().equals(node.name()));
            node.keeper.assign(kept, names, now);
            node.slots.assign(site.targets(), keepers);
        }
    }

    /** Ends a router's process. */
    void kill(int index) {
        dead.add(index);
        assign(dead);
    }

    /** Restarts a router without memory; what ran through it is gone. */
    void restart(int index) {
        incarnation++;
        nodes.set(index, new Node(index));
        assign(Set.of());
        for (Node node : nodes) {
            nodes.get(index).counters.receive(node.counters.everything());
            node.counters.knownOfPeers().forEach(nodes.get(index).counters::receive);
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
        if (dead.contains(router)) {
            return;
        }
        RouterSlots slots = nodes.get(router).slots;
        slots.takeLent(request)
                .ifPresentOrElse(
                        assignment -> start(router, assignment), () -> slots.enqueue(request));
    }

    @Override
    public void finished(TrialStart start, long time) {
        nodes.get(start.router()).slots.finish((Slot) start.handle(), false);
    }

    @Override
    public void served(int router, String organisation, double units) {
        nodes.get(router).counters.add(organisation, units);
    }

    @Override
    public List<TrialStart> step(long time) {
        now = time;
        while (!messages.isEmpty() && messages.peek().at <= now) {
            messages.poll().action.run();
        }
        for (Node node : nodes) {
            if (!dead.contains(node.index)) {
                node.exchange();
            }
        }
        if (now % network.countersMillis() == 0) {
            nodes.forEach(Node::shareCounters);
        }
        if (now % RESEND_MILLIS == 0) {
            nodes.forEach(node -> node.keeper.maintain(now));
        }
        List<TrialStart> started = List.copyOf(starts);
        starts.clear();
        return started;
    }

    private void start(int router, Assignment assignment) {
        starts.add(
                new TrialStart(
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
        int copies = random.nextDouble() < network.lost() ? 0 : 1;
        copies += random.nextDouble() < network.doubled() ? 1 : 0;
        for (int copy = 0; copy < copies; copy++) {
            long jitter = network.jitterMillis() == 0 ? 0 : random.nextLong(network.jitterMillis());
            order++;
            messages.add(
                    new Message(
                            now + network.delayMillis() + jitter,
                            order,
                            () -> deliver(to, action)));
        }
    }

    private void deliver(int to, Consumer<Node> action) {
        if (!dead.contains(to)) {
            action.accept(nodes.get(to));
        }
    }

    /** One router with its keeper. */
    final class Node {

        final int index;
        final ServiceCounters counters;
        final Keeper keeper;
        final RouterSlots slots;
        private final long life = incarnation;

        private Node(int index) {
            this.index = index;
            counters = new ServiceCounters(name(), life);
            keeper = new Keeper(name(), life, parameters, counters, GrantListener.NO_OP);
            slots = new RouterSlots(name(), life, parameters, PrefixThenLeastLoaded.INSTANCE);
        }

        String name() {
            return "router" + index;
        }

        private KeeperCandidate candidate() {
            return new KeeperCandidate(name(), life, "domain" + index % 3);
        }

        private void exchange() {
            for (Map.Entry<KeeperReference, SlotReport> entry :
                    new LinkedHashMap<>(slots.takeReports(now)).entrySet()) {
                int to = Integer.parseInt(entry.getKey().name().substring("router".length()));
                send(index, to, node -> node.keeper.receive(entry.getValue(), now));
            }
            for (Map.Entry<String, SlotGrants> entry : keeper.decide(now).entrySet()) {
                int to = Integer.parseInt(entry.getKey().substring("router".length()));
                send(index, to, node -> node.granted(entry.getValue()));
            }
            if (network.grantsAtOnce()) {
                share(counters.takeGrantChanges());
            }
        }

        private void granted(SlotGrants grants) {
            slots.receive(grants).forEach(assignment -> start(index, assignment));
        }

        private void shareCounters() {
            share(counters.takeChanges());
        }

        private void share(ServiceReport report) {
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

    /** A message under way. */
    private record Message(long at, long order, Runnable action) {}
}
