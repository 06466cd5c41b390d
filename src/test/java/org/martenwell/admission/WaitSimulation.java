package org.martenwell.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.martenwell.share.FairShares;
import org.martenwell.share.ShareTier;
import org.martenwell.share.ShareUse;
import org.martenwell.simulation.SimulatedEvents;

/**
 * A discrete-event simulation of requests that wait for places at engines. It runs the production
 * queue, forecast and shares on a simulated clock. Gateways know the load of their peers by reports
 * that are up to 0.3 s old; requests beyond the places queue in order of arrival. A refused caller
 * retries once, after the delay that it got.
 */
final class WaitSimulation {

    /**
     * The load of a simulation.
     *
     * @param usualLoad The usual demand, as a fraction of what the places serve.
     * @param peakLoad The demand for 7 s from the first second on.
     * @param peakPlaces The fraction of the places that remain meanwhile.
     * @param largeFactor The demand of the first organisation meanwhile, relative to the others; it
     *     comes to one gateway.
     * @param shared {@code true} if the capacity is shared out among organisations.
     */
    record Load(
            double usualLoad,
            double peakLoad,
            double peakPlaces,
            double largeFactor,
            boolean shared) {}

    /**
     * The numbers of requests by their outcome.
     *
     * @param total All requests, without retries.
     * @param inTime Those whose first event came within the objective.
     * @param late Those served later.
     * @param refused Refusals, also of retries.
     * @param refusedTwice Requests of which the retry was refused too.
     * @param othersInTime Those in time of all organisations but the first.
     * @param othersTotal All of these organisations.
     * @param waited Requests that waited.
     * @param searches The times at which a gateway looked at all engines.
     * @param value The value to the customer, by the table of the specification.
     */
    record Outcome(
            int total,
            int inTime,
            int late,
            int firstLate,
            int refused,
            int refusedTwice,
            int othersInTime,
            int othersTotal,
            int waited,
            int searches,
            int value) {}

    /** A kind of request, by the table of the specification. */
    private enum Kind {
        LONG(0.15, 11_992, 6_610, 48, 800, 12_000, 156, 4.8, 1.4),
        CHAT(0.5, 826, 628, 36, 600, 12_000, 54, 1.4, 0.43),
        SHORT(0.35, 2_368, 1_800, 3, 1_200, 3_000, 72, 0.29, 0.088);

        private final double share;
        private final int promptTokens;
        private final int ownTokens;
        private final int events;
        private final int objectiveMillis;
        private final int timeoutMillis;
        private final int firstEventMillis;
        private final double value;
        private final double lateValue;

        Kind(
                double share,
                int promptTokens,
                int ownTokens,
                int events,
                int objectiveMillis,
                int timeoutMillis,
                int firstEventMillis,
                double value,
                double lateValue) {
            this.share = share;
            this.promptTokens = promptTokens;
            this.ownTokens = ownTokens;
            this.events = events;
            this.objectiveMillis = objectiveMillis;
            this.timeoutMillis = timeoutMillis;
            this.firstEventMillis = firstEventMillis;
            this.value = value;
            this.lateValue = lateValue;
        }

        private double cost() {
            return promptTokens + 2.0 * events;
        }

        private double holdMillis() {
            return firstEventMillis + EVENT_MILLIS * events;
        }
    }

    private static final double EVENT_MILLIS = 30;

    private static final int GATEWAYS = 20;

    private static final int ORGANISATIONS = 10;

    private static final int PLACES = 240;

    private static final long REPORT_MILLIS = 300;

    private static final long PEAK_START = 1_000;

    private static final long PEAK_END = 8_000;

    private static final long END = 10_000;

    private static final long SHARE_WINDOW_MILLIS = 5_000;

    /** The fraction of the objective for which requests wait without a forecast. */
    private static final double FIXED_WAIT_FRACTION = 0.2;

    private static final double FIXED_RETRY_SECONDS = 0.4;

    private final Load load;

    private final boolean forecasts;

    /** Draws the arrivals, apart from other draws so that they are the same before and after. */
    private final Random arrivals;

    private final Random random;

    private final SimulatedEvents events = new SimulatedEvents();

    private final List<Gateway> gateways = new ArrayList<>();

    private final FairShares shares = new FairShares(SHARE_WINDOW_MILLIS);

    /** Requests that were sent although no place was free, in order of arrival. */
    private final Deque<Request> unplaced = new ArrayDeque<>();

    private final double requestsPerMilli;

    private final double windowTokens;

    private int occupied;

    private int total;
    private int inTime;
    private int late;
    private int firstLate;
    private int refused;
    private int refusedTwice;
    private int othersInTime;
    private int othersTotal;
    private int waited;
    private int searches;
    private double value;

    private WaitSimulation(Load load, boolean forecasts, long seed) {
        this.load = load;
        this.forecasts = forecasts;
        this.arrivals = new Random(seed);
        this.random = new Random(seed);
        double meanHold = 0;
        double meanCost = 0;
        for (Kind each : Kind.values()) {
            meanHold += each.share * each.holdMillis();
            meanCost += each.share * each.cost();
        }
        requestsPerMilli = ShareTier.PROMISED.fillFraction() * PLACES / meanHold;
        windowTokens =
                load.shared()
                        ? requestsPerMilli * meanCost * SHARE_WINDOW_MILLIS
                        : Double.POSITIVE_INFINITY;
        for (int index = 0; index < GATEWAYS; index++) {
            gateways.add(new Gateway());
        }
    }

    /** Simulates a load with the fixed wait, as while the feature is off. */
    static Outcome before(Load load, long seed) {
        return new WaitSimulation(load, false, seed).simulate();
    }

    /** Simulates a load with the forecast. */
    static Outcome after(Load load, long seed) {
        return new WaitSimulation(load, true, seed).simulate();
    }

    private Outcome simulate() {
        for (Gateway each : gateways) {
            events.repeat(
                    Math.floor(random.nextDouble() * REPORT_MILLIS),
                    REPORT_MILLIS,
                    END,
                    each::receiveReports);
        }
        events.schedule(0, this::arrive);
        events.run();
        return new Outcome(
                total,
                inTime,
                late,
                firstLate,
                refused,
                refusedTwice,
                othersInTime,
                othersTotal,
                waited,
                searches,
                (int) Math.round(value));
    }

    private boolean peak() {
        return events.nowMillis() >= PEAK_START && events.nowMillis() < PEAK_END;
    }

    /** The number of places that engines have at present. */
    private double places() {
        return peak() ? load.peakPlaces() * PLACES : PLACES;
    }

    private void arrive() {
        if (events.nowMillis() >= END) {
            return;
        }
        double rate = requestsPerMilli * (peak() ? load.peakLoad() : load.usualLoad());
        double largeShare =
                peak()
                        ? load.largeFactor() / (load.largeFactor() + ORGANISATIONS - 1)
                        : 1.0 / ORGANISATIONS;
        int organisation =
                arrivals.nextDouble() < largeShare ? 0 : 1 + arrivals.nextInt(ORGANISATIONS - 1);
        boolean toOne = load.largeFactor() > 1 && organisation == 0;
        Gateway gateway = gateways.get(toOne ? 0 : arrivals.nextInt(GATEWAYS));
        new Request(gateway, organisation, kind()).arrive();
        events.schedule(
                events.nowMillis()
                        + Math.round(
                                -Math.log(1 - arrivals.nextDouble()) / rate
                                        + arrivals.nextDouble()
                                        - 0.5),
                this::arrive);
    }

    private Kind kind() {
        double point = arrivals.nextDouble();
        for (Kind each : Kind.values()) {
            point -= each.share;
            if (point < 0) {
                return each;
            }
        }
        return Kind.CHAT;
    }

    /** A request and its retry. */
    private final class Request implements WaitingRequest {

        private final Gateway gateway;
        private final int organisation;
        private final Kind kind;
        private final long firstArrival = events.nowMillis();
        private long arrival;
        private boolean retried;
        private boolean hasWaited;
        private boolean sent;
        private WaitDemand demand;

        private Request(Gateway gateway, int organisation, Kind kind) {
            this.gateway = gateway;
            this.organisation = organisation;
            this.kind = kind;
            total++;
            othersTotal += organisation == 0 ? 0 : 1;
        }

        private void arrive() {
            arrival = events.nowMillis();
            hasWaited = false;
            demand =
                    new WaitDemand(
                            arrival,
                            kind.objectiveMillis,
                            firstArrival + kind.timeoutMillis,
                            kind.firstEventMillis,
                            kind.ownTokens + kind.events);
            shares.requested(organisationName(), kind.cost(), events.nowMillis());
            tryAgain();
        }

        private ShareUse use() {
            return shares.use(organisationName(), kind.cost(), windowTokens, events.nowMillis());
        }

        @Override
        public String organisationName() {
            return "o" + organisation;
        }

        @Override
        public WaitRank rank() {
            ShareUse use = use();
            ShareTier tier = use.tier();
            return new WaitRank(
                    use.promised(),
                    tier.fillFraction(),
                    tier.waitFraction(),
                    use.aheadOfOthers() || tier == ShareTier.BEYOND);
        }

        @Override
        public void tryAgain() {
            ShareUse use = use();
            if (use.aheadOfOthers()) {
                refuse(2);
                return;
            }
            WaitRank rank = rank();
            boolean skips =
                    forecasts && gateway.queue.skipsSearch(demand, rank, events.nowMillis());
            if (!skips) {
                searches++;
                if (gateway.seesPlace(use.tier())) {
                    send(use.tier());
                    return;
                }
            }
            if (use.tier() == ShareTier.BEYOND) {
                refuse(2);
            } else if (forecasts) {
                forecast(rank, skips);
            } else if (events.nowMillis() - arrival >= FIXED_WAIT_FRACTION * kind.objectiveMillis) {
                refuse(FIXED_RETRY_SECONDS * (1 + random.nextDouble()));
            } else {
                await();
                gateway.waiting.add(this);
                gateway.scheduleRetry();
            }
        }

        private void forecast(WaitRank rank, boolean skipped) {
            if (!skipped) {
                gateway.queue.searchFailed(demand, rank, true, events.nowMillis());
            }
            Optional<WaitRefusal> refusal =
                    gateway.queue.decide(demand, rank, hasWaited, events.nowMillis());
            if (refusal.isPresent()) {
                refuse(refusal.get());
            } else {
                await();
                gateway.queue.add(this, demand, rank, events.nowMillis());
                gateway.scheduleRetry();
            }
        }

        private void await() {
            waited += hasWaited ? 0 : 1;
            hasWaited = true;
        }

        @Override
        public void refuse(WaitRefusal refusal) {
            refuse(refusal.retrySeconds() * (1 + 0.25 * random.nextDouble()));
        }

        private void refuse(double seconds) {
            if (sent) {
                throw new IllegalStateException("refused after it was sent");
            }
            refused++;
            if (retried) {
                refusedTwice++;
                value -= kind.value / 3;
                return;
            }
            retried = true;
            events.schedule(events.nowMillis() + Math.round(1_000 * seconds), this::arrive);
        }

        private void send(ShareTier tier) {
            sent = true;
            shares.sent(organisationName(), kind.cost(), tier, events.nowMillis());
            gateway.queue.recordPlace(events.nowMillis());
            gateway.running++;
            unplaced.add(this);
            startNext();
        }

        private void start() {
            occupied++;
            long first = events.nowMillis() + kind.firstEventMillis - firstArrival;
            if (first <= kind.objectiveMillis) {
                inTime++;
                othersInTime += organisation == 0 ? 0 : 1;
                value += kind.value;
            } else {
                late++;
                firstLate += retried ? 0 : 1;
                value += kind.lateValue;
            }
            events.schedule(events.nowMillis() + Math.round(kind.holdMillis()), this::end);
        }

        private void end() {
            occupied--;
            gateway.running--;
            startNext();
        }
    }

    private void startNext() {
        while (occupied < places() && !unplaced.isEmpty()) {
            unplaced.remove().start();
        }
    }

    /** A gateway with its view of the places. */
    private final class Gateway {

        private final ForecastQueue<Request> queue = new ForecastQueue<>();

        /** The queue without a forecast. */
        private final List<Request> waiting = new ArrayList<>();

        private int running;

        /** The requests of all peers at the last report. */
        private int runningElsewhere;

        private boolean retryScheduled;

        private boolean seesPlace(ShareTier tier) {
            return running + runningElsewhere < tier.fillFraction() * places();
        }

        private void receiveReports() {
            runningElsewhere = gateways.stream().mapToInt(each -> each.running).sum() - running;
        }

        private void scheduleRetry() {
            int size = queue.size() + waiting.size();
            if (!retryScheduled && size > 0) {
                retryScheduled = true;
                events.schedule(events.nowMillis() + Math.min(25, 5 + size / 4), this::retry);
            }
        }

        private void retry() {
            retryScheduled = false;
            queue.offerPlaces(events.nowMillis());
            List<Request> ordered = new ArrayList<>(waiting);
            waiting.clear();
            ordered.sort(Comparator.comparingDouble(each -> each.use().promised()));
            ordered.forEach(Request::tryAgain);
            scheduleRetry();
        }
    }
}
