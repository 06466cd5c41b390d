package org.martenwell.offload;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.martenwell.balance.CapacityNotice;
import org.martenwell.directory.GatewayMember;

/**
 * A simulation of the processor time of a fleet whose load balancer sends most callers to a few
 * boxes. It runs the production classes on a simulated clock; notices are old by the interval at
 * which they are sent and by their way. Each box works at the rate that it grants, and handles its
 * work in order of arrival. A box refuses requests by the rules of {@code ProcessorLimiter} and
 * {@code LoopLagLimiter}.
 *
 * <p>The fleet and the costs are those of customer A in docs/hard-load.md: 6 boxes of 1.5
 * processors, 64 of 0.27 and 21 of 0.9, in three failure domains. A request costs 2.85 ms, a
 * refused one 0.4 ms and an offloaded one 0.7 ms at the first box. More than half of it is needed
 * on arrival, the rest over the 2 s in which events are forwarded.
 */
final class OffloadSimulation {

    /**
     * The result of a run; rates are means per second after the start of the peak.
     *
     * @param requests The requests at the busy boxes.
     * @param refused The refused requests at the busy boxes.
     * @param inTime The requests at the busy boxes that no box refused and that none began late.
     * @param refusedElsewhere The refused requests at all other boxes.
     * @param rejected The offloaded requests that were rejected.
     * @param busyLagMillis The mean lag of the busy boxes.
     * @param worstHelperLagMillis The largest lag of another box.
     * @param lateHelperFraction The fraction of time in which other boxes were late by over 30 ms.
     * @param fractions The offloaded fraction of the first busy box, every 100 ms.
     * @param settledUse The mean use of the busy boxes after 3 s.
     * @param peersUsed The number of different peers that the first busy box used.
     */
    record Result(
            double requests,
            double refused,
            double inTime,
            double refusedElsewhere,
            double rejected,
            double busyLagMillis,
            double worstHelperLagMillis,
            double lateHelperFraction,
            List<Double> fractions,
            double settledUse,
            int peersUsed) {

        /** Returns the fraction of the requests at the busy boxes that was refused. */
        double refusedFraction() {
            return refused / requests;
        }

        /** Returns the fraction of the requests at the busy boxes that was served in time. */
        double inTimeFraction() {
            return inTime / requests;
        }

        /** Returns how much the offloaded fraction rose and fell per second from 3 s on. */
        double movementPerSecond() {
            double sum = 0;
            for (int index = 31; index < fractions.size(); index++) {
                sum += Math.abs(fractions.get(index) - fractions.get(index - 1));
            }
            return sum / ((fractions.size() - 31) / 10.0);
        }
    }

    /** A notice on its way. */
    private record Pending(CapacityNotice notice, long dueMillis) {}

    /** A notice that has arrived at all boxes. */
    private record Arrived(CapacityNotice notice, long atMillis) {}

    /** The length of a step, in milliseconds. */
    private static final int STEP_MILLIS = 10;

    private static final int SAMPLE_MILLIS = 100;

    private static final int NOTICE_MILLIS = 400;

    /** The delay of a notice by relays, in milliseconds. */
    private static final int NOTICE_DELAY_MILLIS = 200;

    private static final int WARM_UP_MILLIS = 2_000;

    /** The processor time that a gateway uses for itself, in milliseconds per second. */
    static final double OWN_MILLIS = 80;

    static final double SERVED_MILLIS = 2.85;

    static final double REFUSED_MILLIS = 0.4;

    static final double OFFLOADED_MILLIS = 0.7;

    /** The part of a request's cost that is needed on arrival, an assumption. */
    private static final double ON_ARRIVAL = 0.55;

    /** The steps over which the rest is needed. */
    private static final int RESPONSE_STEPS = 200;

    /** The lag from which {@code LoopLagLimiter} would refuse requests. */
    private static final double LATE_MILLIS = 30;

    /** The weight of a step in the mean lag; 0.2 for each 25 ms. */
    private static final double LAG_WEIGHT = 0.085;

    /** The wait at gateways that costs little, an eighth of an objective of 800 ms. */
    private static final double IN_TIME_MILLIS = 100;

    /** The requests per second at each box that isn't busy: the other half of 600 at 90 boxes. */
    private static final double IDLE_RATE = 3.3;

    private final Random random;

    private final boolean offload;

    private final List<Box> boxes = new ArrayList<>();

    /** The boxes that receive most requests. */
    private List<Box> busyBoxes = List.of();

    /** The notices on their way in the order in which they arrive. */
    private final Deque<Pending> pending = new ArrayDeque<>();

    /**
     * The notices that have arrived. A box processes them when it next offloads a request, since
     * most boxes offload none.
     */
    private final List<Arrived> arrived = new ArrayList<>();

    private long now;

    private int rejected;

    private OffloadSimulation(boolean offload, long seed) {
        this.offload = offload;
        this.random = new Random(seed);
    }

    /**
     * Runs the fleet of customer A.
     *
     * @param offload Whether requests are offloaded.
     * @param busy The number of boxes of 0.27 processors that receive most requests.
     * @param rate The requests per second at each of them.
     * @param seconds The length of the peak, in seconds.
     * @param seed The seed.
     */
    static Result run(boolean offload, int busy, double rate, int seconds, long seed) {
        return new OffloadSimulation(offload, seed).run(busy, rate, seconds);
    }

    /**
     * Returns the fraction that a box refuses at least with perfect knowledge of all loads and
     * helpers with enough time: it offloads or refuses each request such that it uses the given
     * time.
     *
     * @param rate The requests per second.
     * @param usedMillis The processor time that the box may use, in milliseconds per second.
     */
    static double leastRefusedFraction(double rate, double usedMillis) {
        double excess = rate * OFFLOADED_MILLIS - (usedMillis - OWN_MILLIS);
        return Math.max(0, excess / (rate * (OFFLOADED_MILLIS - REFUSED_MILLIS)));
    }

    private Result run(int busy, double rate, int seconds) {
        for (int index = 0; index < 91; index++) {
            double processors = index < 64 ? 0.27 : index < 85 ? 0.9 : 1.5;
            boxes.add(new Box("gateway-" + index, "domain-" + index % 3, processors));
        }
        List<GatewayMember> members = boxes.stream().map(Box::member).toList();
        boxes.forEach(each -> each.peers.members(members, 0));
        boxes.forEach(each -> each.receives(IDLE_RATE));
        busyBoxes = boxes.subList(0, busy);
        advance(WARM_UP_MILLIS, new ArrayList<>());
        boxes.forEach(Box::clearCounts);
        rejected = 0;
        List<Box> others = boxes.subList(busy, boxes.size());
        busyBoxes.forEach(each -> each.receives(rate));
        List<Double> fractions = new ArrayList<>();
        advance(seconds * 1_000, fractions);
        return new Result(
                busyBoxes.stream().mapToInt(each -> each.requests).sum() / (double) seconds,
                busyBoxes.stream().mapToInt(each -> each.refused).sum() / (double) seconds,
                busyBoxes.stream().mapToInt(each -> each.inTime).sum() / (double) seconds,
                others.stream().mapToInt(each -> each.refused).sum() / (double) seconds,
                rejected / (double) seconds,
                busyBoxes.stream().mapToDouble(Box::meanLag).average().orElse(0),
                others.stream().mapToDouble(each -> each.worstLag).max().orElse(0),
                others.stream().mapToDouble(Box::lateFraction).average().orElse(0),
                fractions,
                busyBoxes.stream().mapToDouble(Box::settledUse).average().orElse(0),
                busyBoxes.get(0).usedPeers.size());
    }

    private void advance(int millis, List<Double> fractions) {
        for (int step = 0; step < millis / STEP_MILLIS; step++) {
            now += STEP_MILLIS;
            boxes.forEach(Box::endResponses);
            boxes.forEach(Box::receive);
            boxes.forEach(Box::work);
            if (now % SAMPLE_MILLIS == 0) {
                boxes.forEach(Box::sample);
                fractions.add(boxes.get(0).controller.fraction());
            }
            for (int index = 0; index < boxes.size(); index++) {
                if ((now + (long) STEP_MILLIS * index) % NOTICE_MILLIS == 0) {
                    send(boxes.get(index));
                }
            }
            deliver();
        }
    }

    private void send(Box box) {
        CapacityNotice notice =
                new CapacityNotice(box.name, box.spare.millis(box.refusing()), List.of());
        pending.add(new Pending(notice, now + NOTICE_DELAY_MILLIS));
    }

    private void deliver() {
        while (!pending.isEmpty() && pending.peek().dueMillis() <= now) {
            arrived.add(new Arrived(pending.poll().notice(), now));
        }
    }

    /** A gateway and the box that it runs on. */
    private final class Box {

        private final String name;

        private final String domain;

        private final double processors;

        private final OffloadController controller = new OffloadController();

        private final OffloadPeers peers;

        private final SpareTime spare;

        /** The work per step that ends at each of the next steps, in milliseconds. */
        private final double[] endingWork = new double[RESPONSE_STEPS];

        private final Set<String> usedPeers = new HashSet<>();

        private final List<Double> uses = new ArrayList<>();

        /** The work of each step for responses in progress, in milliseconds. */
        private double responseWork;

        /** The probability that no request arrives in a step. */
        private double noArrival;

        private double backlog;

        private double usedMillis;

        private double limiterUse;

        private double limiterLag;

        private double refusedForProcessor;

        private int processedNotices;

        private int requests;

        private int refused;

        private int inTime;

        private int samples;

        private int lateSamples;

        private double lagSum;

        private double worstLag;

        private Box(String name, String domain, double processors) {
            this.name = name;
            this.domain = domain;
            this.processors = processors;
            this.peers = new OffloadPeers(name, domain);
            this.spare = new SpareTime(processors, controller);
        }

        private GatewayMember member() {
            return new GatewayMember(name, domain, "127.0.0.1:1", processors);
        }

        private void clearCounts() {
            requests = 0;
            refused = 0;
            inTime = 0;
            samples = 0;
            lateSamples = 0;
            lagSum = 0;
            worstLag = 0;
            uses.clear();
        }

        private void receives(double perSecond) {
            noArrival = Math.exp(-perSecond * STEP_MILLIS / 1_000);
        }

        private double lag() {
            return backlog / processors;
        }

        private boolean refusing() {
            return refusedFraction() > 0;
        }

        private double refusedFraction() {
            double forLag = Math.max(0, Math.min(0.95, (limiterLag - LATE_MILLIS) / 100));
            return 1 - (1 - forLag) * (1 - refusedForProcessor);
        }

        private int slot() {
            return (int) (now / STEP_MILLIS % RESPONSE_STEPS);
        }

        /** Ends the responses to the requests that arrived before their length. */
        private void endResponses() {
            responseWork -= endingWork[slot()];
            endingWork[slot()] = 0;
        }

        /** Handles the requests that arrive in a step, a Poisson process. */
        private void receive() {
            for (double product = random.nextDouble();
                    product > noArrival;
                    product *= random.nextDouble()) {
                arrive();
            }
        }

        private void arrive() {
            requests++;
            if (random.nextDouble() < refusedFraction()) {
                refused++;
                backlog += REFUSED_MILLIS;
                return;
            }
            Optional<String> peer = Optional.empty();
            if (offload && random.nextDouble() < controller.fraction()) {
                processNotices();
                peer = peers.choose(random.nextDouble(), SERVED_MILLIS, now);
            }
            if (peer.isEmpty()) {
                add(SERVED_MILLIS);
                countInTime(lag());
                return;
            }
            usedPeers.add(peer.get());
            add(OFFLOADED_MILLIS);
            Box helper = named(peer.get());
            if (helper.spare.accepts(helper.refusing())) {
                helper.add(SERVED_MILLIS);
                countInTime(lag() + helper.lag());
            } else {
                rejected++;
                peers.rejected(peer.get(), now);
                add(SERVED_MILLIS);
                countInTime(lag());
            }
        }

        private void processNotices() {
            for (; processedNotices < arrived.size(); processedNotices++) {
                Arrived next = arrived.get(processedNotices);
                peers.noticed(next.notice(), next.atMillis());
            }
        }

        private void countInTime(double waitMillis) {
            inTime += waitMillis <= IN_TIME_MILLIS ? 1 : 0;
        }

        private Box named(String other) {
            return boxes.get(Integer.parseInt(other.substring("gateway-".length())));
        }

        private void add(double cost) {
            backlog += cost * ON_ARRIVAL;
            double perStep = cost * (1 - ON_ARRIVAL) / RESPONSE_STEPS;
            responseWork += perStep;
            endingWork[slot()] += perStep;
        }

        private void work() {
            backlog += responseWork + OWN_MILLIS * STEP_MILLIS / 1_000;
            double worked = Math.min(processors * STEP_MILLIS, backlog);
            backlog -= worked;
            usedMillis += worked;
            limiterLag += LAG_WEIGHT * (lag() - limiterLag);
        }

        private void sample() {
            double use = Math.floor(usedMillis) / (SAMPLE_MILLIS * processors);
            usedMillis -= Math.floor(usedMillis);
            controller.sample(use, limiterLag, SAMPLE_MILLIS);
            limiterUse += 0.3 * (Math.min(1, use) - limiterUse);
            double excess = Math.min(limiterUse - 0.87, (limiterLag - 10) / 100);
            refusedForProcessor = Math.max(0, Math.min(0.9, refusedForProcessor + 0.6 * excess));
            samples++;
            lagSum += lag();
            worstLag = Math.max(worstLag, lag());
            lateSamples += lag() > LATE_MILLIS ? 1 : 0;
            uses.add(use);
        }

        private double meanLag() {
            return lagSum / samples;
        }

        private double lateFraction() {
            return (double) lateSamples / samples;
        }

        private double settledUse() {
            return uses.stream().skip(30).mapToDouble(each -> each).average().orElse(0);
        }
    }
}
