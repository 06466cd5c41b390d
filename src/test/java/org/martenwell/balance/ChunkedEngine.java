package org.martenwell.balance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.martenwell.simulation.SimulatedEvents;

/**
 * A simulated engine that processes prompts in order of arrival and in chunks. A chunk and a token
 * of all running requests take turns, so a long prompt delays both those that run and those behind
 * it. The engine is slower than others for good, or for periods.
 */
final class ChunkedEngine implements SimulatedEngine {

    /** The tokens to prefill from which a prompt is long. */
    static final long LONG_TOKENS = 4_000;

    /** The number of tokens of an event. */
    private static final int EVENT_TOKENS = 8;

    /** The length of a period in which the speed is constant, in milliseconds. */
    private static final int PERIOD_MILLIS = 600;

    /** The fraction of periods in which an engine is slowed down. */
    private static final double SLOW_PERIODS = 0.15;

    /** The factor by which it is slowed down. */
    private static final double SLOW_PERIOD_FACTOR = 1 / 2.5;

    private final int index;

    private final FleetModel model;

    private final SimulatedEvents events;

    private final Deque<Job> waiting = new ArrayDeque<>();

    private final Deque<Job> prefilling = new ArrayDeque<>();

    private final List<Job> generating = new ArrayList<>();

    private boolean stepping;

    private boolean tokenIsNext;

    private boolean lost;

    /** A request at the engine. */
    private static final class Job {

        private final SimulatedRequest request;

        private final long prefillTokens;

        private long remainingPrefill;

        private int tokens;

        private Job(SimulatedRequest request, long prefillTokens) {
            this.request = request;
            this.prefillTokens = prefillTokens;
            this.remainingPrefill = Math.max(1, prefillTokens);
        }
    }

    ChunkedEngine(int index, FleetModel model, SimulatedEvents events) {
        this.index = index;
        this.model = model;
        this.events = events;
    }

    @Override
    public boolean accept(SimulatedRequest request, long prefillTokens) {
        if (lost || waiting.size() >= model.maxQueued()) {
            return false;
        }
        waiting.add(new Job(request, prefillTokens));
        startNext();
        return true;
    }

    @Override
    public boolean idle() {
        return !lost && generating.isEmpty() && prefilling.isEmpty() && waiting.isEmpty();
    }

    @Override
    public long tokensAhead() {
        return unfinished().mapToLong(each -> each.remainingPrefill).sum();
    }

    @Override
    public boolean hasLongPrefill() {
        return unfinished().anyMatch(each -> each.prefillTokens >= LONG_TOKENS);
    }

    @Override
    public void lose() {
        lost = true;
        List<Job> jobs = Stream.concat(unfinished(), generating.stream()).toList();
        waiting.clear();
        prefilling.clear();
        generating.clear();
        jobs.forEach(each -> each.request.lost());
    }

    private Stream<Job> unfinished() {
        return Stream.concat(prefilling.stream(), waiting.stream());
    }

    private void startNext() {
        while (prefilling.size() + generating.size() < model.capacity().slots()
                && !waiting.isEmpty()) {
            prefilling.add(waiting.poll());
        }
        if (!stepping) {
            step();
        }
    }

    private void step() {
        stepping = !prefilling.isEmpty() || !generating.isEmpty();
        if (!stepping) {
            return;
        }
        if (!generating.isEmpty() && (tokenIsNext || prefilling.isEmpty())) {
            tokenIsNext = false;
            double millis = model.tokenMillis() + model.tokenMillisPerSlot() * generating.size();
            after(millis, this::generate);
        } else {
            tokenIsNext = true;
            Job head = prefilling.peek();
            long tokens = Math.min(model.chunkTokens(), head.remainingPrefill);
            after(tokens / model.prefillRate(), () -> prefilled(head, tokens));
        }
    }

    private void after(double millis, Runnable action) {
        events.schedule(
                events.now() + millis / speed(),
                () -> {
                    if (!lost) {
                        action.run();
                        startNext();
                        step();
                    }
                });
    }

    private void prefilled(Job job, long tokens) {
        job.remainingPrefill -= tokens;
        if (job.remainingPrefill <= 0) {
            prefilling.remove(job);
            generating.add(job);
            events.schedule(
                    events.now() + model.baseMillis(), () -> job.request.firstEventArrived());
        }
    }

    private void generate() {
        for (Job each : List.copyOf(generating)) {
            each.tokens++;
            if (each.tokens % EVENT_TOKENS == 0) {
                each.request.eventArrived();
            }
            if (each.tokens >= each.request.responseTokens()) {
                generating.remove(each);
                each.request.ended();
            }
        }
    }

    private double speed() {
        long period = (long) (events.now() / PERIOD_MILLIS);
        // Mixes the seed, since the first doubles of neighbouring seeds are alike.
        long mixed = (index * 1_000_003L + period) * 0x9E3779B97F4A7C15L;
        boolean slowed = new Random(mixed).nextDouble() < SLOW_PERIODS;
        return model.speeds().get(index % model.speeds().size())
                * (slowed && model.slowPeriods() ? SLOW_PERIOD_FACTOR : 1);
    }
}
