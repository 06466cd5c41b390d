package org.martenwell.balance;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Gateways that learn the speeds of engines from samples of their own and from notices of peers, on
 * a simulated clock. Each gateway sends requests at a constant rate to random engines.
 */
final class SpeedFleet {

    /** The interval of notices, in milliseconds. */
    private static final long NOTICE_MILLIS = 400;

    /** The delay of notices, with which samples are 0.4 s old on average, in milliseconds. */
    private static final long DELAY_MILLIS = 200;

    /** The interval at which gateways compute speeds, in milliseconds. */
    private static final long UPDATE_MILLIS = 200;

    /** The length of a period in which an engine may be slow, in milliseconds. */
    private static final long PERIOD_MILLIS = 600;

    private static final double SLOW_PERIOD_FACTOR = 2.5;

    /** The standard deviation of the logarithm of a sample. */
    private static final double NOISE = 0.1;

    /** The circumstances of the samples. */
    record Scenario(
            int gateways,
            double samplesPerSecond,
            double slowPart,
            double lostPart,
            double repeatedPart,
            long seed) {}

    private final Scenario scenario;

    private final double[] speeds;

    private final Random random;

    private final List<List<TargetSpeed>> gateways = new ArrayList<>();

    private final PriorityQueue<Delivery> deliveries =
            new PriorityQueue<>((one, other) -> Long.compare(one.at(), other.at()));

    /** The factor by which all gateways overestimate the speed of engines. */
    private double overestimate = 1;

    /** Set for engines that are slow in the current period. */
    private final boolean[] slow;

    private long now;

    private record Delivery(long at, int from, int engine, TargetSpeedReport report) {}

    SpeedFleet(Scenario scenario, double... speeds) {
        this.scenario = scenario;
        this.speeds = speeds;
        this.slow = new boolean[speeds.length];
        this.random = new Random(scenario.seed());
        for (int gateway = 0; gateway < scenario.gateways(); gateway++) {
            addGateway();
        }
    }

    /** Creates the speeds of engines of which each fourth is slow. */
    static double[] uneven(int engines) {
        double[] speeds = new double[engines];
        for (int engine = 0; engine < engines; engine++) {
            speeds[engine] = engine % 4 == 0 ? 0.55 : 1.2;
        }
        return speeds;
    }

    static double[] even(int engines) {
        double[] speeds = new double[engines];
        Arrays.fill(speeds, 1);
        return speeds;
    }

    /** Adds a gateway without samples; returns its number. */
    int addGateway() {
        List<TargetSpeed> created = new ArrayList<>();
        for (int engine = 0; engine < speeds.length; engine++) {
            created.add(new TargetSpeed());
        }
        gateways.add(created);
        return gateways.size() - 1;
    }

    /** Replaces an engine by one that gateways know nothing about. */
    void restart(int engine, double speed) {
        speeds[engine] = speed;
        gateways.forEach(each -> each.set(engine, new TargetSpeed()));
        deliveries.removeIf(each -> each.engine() == engine);
    }

    void overestimate(double factor) {
        overestimate = factor;
    }

    /** Lets time pass without any request. */
    void pause(long millis) {
        long end = now + millis;
        while (now < end) {
            step();
        }
    }

    void run(long millis) {
        double perMilli = scenario.samplesPerSecond() / 1_000;
        long end = now + millis;
        while (now < end) {
            for (List<TargetSpeed> each : gateways) {
                if (random.nextDouble() < perMilli) {
                    int engine = random.nextInt(speeds.length);
                    each.get(engine).observe(sample(engine), now);
                }
            }
            step();
        }
    }

    private void step() {
        now++;
        if (now % PERIOD_MILLIS == 0) {
            for (int engine = 0; engine < slow.length; engine++) {
                slow[engine] = random.nextDouble() < scenario.slowPart();
            }
        }
        for (int gateway = 0; gateway < gateways.size(); gateway++) {
            if ((now + 37L * gateway) % NOTICE_MILLIS == 0) {
                report(gateway);
            }
        }
        while (!deliveries.isEmpty() && deliveries.peek().at() <= now) {
            deliver(deliveries.poll());
        }
        if (now % UPDATE_MILLIS == 0) {
            gateways.forEach(each -> RelativeSpeeds.update(each, now));
        }
    }

    private double sample(int engine) {
        double speed = speeds[engine] / (slow[engine] ? SLOW_PERIOD_FACTOR : 1);
        return speed / overestimate * Math.exp(NOISE * random.nextGaussian());
    }

    private void report(int gateway) {
        for (int engine = 0; engine < speeds.length; engine++) {
            Optional<TargetSpeedReport> report =
                    gateways.get(gateway).get(engine).takeReport("engine-" + engine);
            if (report.isPresent() && random.nextDouble() >= scenario.lostPart()) {
                deliveries.add(new Delivery(now + DELAY_MILLIS, gateway, engine, report.get()));
                if (random.nextDouble() < scenario.repeatedPart()) {
                    deliveries.add(
                            new Delivery(now + 2 * DELAY_MILLIS, gateway, engine, report.get()));
                }
            }
        }
    }

    private void deliver(Delivery delivery) {
        for (int gateway = 0; gateway < gateways.size(); gateway++) {
            if (gateway != delivery.from()) {
                gateways.get(gateway).get(delivery.engine()).apply(delivery.report(), now);
            }
        }
    }

    double factor(int gateway, int engine) {
        return gateways.get(gateway).get(engine).factor();
    }

    /** Returns the part of the estimates of all gateways that are at most a fifth off. */
    double learntPart() {
        double sum = 0;
        for (int gateway = 0; gateway < gateways.size(); gateway++) {
            sum += learntPart(gateway);
        }
        return sum / gateways.size();
    }

    double learntPart(int gateway) {
        int learnt = 0;
        for (int engine = 0; engine < speeds.length; engine++) {
            double ratio = factor(gateway, engine) / speeds[engine];
            learnt += ratio > 1 / 1.2 && ratio < 1.2 ? 1 : 0;
        }
        return (double) learnt / speeds.length;
    }

    /** Returns the part of the estimates of all gateways that differ from 1. */
    double unequalPart() {
        long unequal =
                gateways.stream().flatMap(List::stream).filter(each -> each.factor() != 1).count();
        return (double) unequal / gateways.size() / speeds.length;
    }
}
