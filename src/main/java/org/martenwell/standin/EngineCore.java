package org.martenwell.standin;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeSet;

/**
 * A simulated engine with continuous batching: each step generates one token for every running
 * request.
 */
final class EngineCore {

    /** The sigma of the log-normal distribution of response lengths. */
    private static final double LENGTH_SIGMA = 1.0;

    /** The time for which streams of finished requests can be resumed, in milliseconds. */
    private static final long RETENTION_MILLIS = 60_000;

    private final TargetSettings settings;

    private final Random random;

    private final Map<String, Generation> generations = new LinkedHashMap<>();

    /** The number of submissions, by request id. */
    private final Map<String, Integer> submissions = new LinkedHashMap<>();

    /** The queued requests, by descending priority, then by arrival. */
    private final TreeSet<Generation> waiting =
            new TreeSet<>(
                    Comparator.comparingInt(Generation::priority)
                            .reversed()
                            .thenComparingLong(Generation::number));

    private final List<Generation> running = new ArrayList<>();

    /** The sequence number of the last request. */
    private long lastNumber;

    private long produced;

    private long steps;

    /**
     * Creates an idle engine.
     *
     * @param settings The settings of the target.
     */
    EngineCore(TargetSettings settings) {
        this.settings = settings;
        this.random = new Random(settings.seed());
    }

    /**
     * Queues a request and starts it if a slot is free.
     *
     * @param id The request id.
     * @param priority The priority; higher values run first.
     * @param limit The maximum number of tokens to generate, or 0 for no limit.
     * @return The generation.
     */
    Generation submit(String id, int priority, int limit) {
        lastNumber++;
        submissions.merge(id, 1, Integer::sum);
        Generation generation = new Generation(id, priority, lastNumber, drawLength(limit));
        generations.put(id, generation);
        waiting.add(generation);
        startQueued();
        return generation;
    }

    /**
     * Finds a queued, running or recently finished request.
     *
     * @param id The request id.
     * @return The generation of the request, empty if it is unknown or has expired.
     */
    Optional<Generation> find(String id) {
        return Optional.ofNullable(generations.get(id));
    }

    /**
     * Cancels a request and starts the next one.
     *
     * @param generation The generation to cancel.
     * @param now The current time, in milliseconds.
     */
    void cancel(Generation generation, long now) {
        generation.finish(GenerationState.CANCELLED, now);
        waiting.remove(generation);
        running.remove(generation);
        startQueued();
    }

    /**
     * Generates a token for every running request.
     *
     * @param now The current time, in milliseconds.
     */
    void step(long now) {
        steps++;
        for (Generation generation : List.copyOf(running)) {
            generation.produce(now);
            produced++;
        }
        running.removeIf(Generation::isFinished);
        startQueued();
        if (steps % 1_000 == 0) {
            generations.values().removeIf(each -> each.finishedBefore(now - RETENTION_MILLIS));
        }
    }

    /** {@return the number of running requests} */
    int running() {
        return running.size();
    }

    /** {@return the number of queued requests} */
    int waiting() {
        return waiting.size();
    }

    /** {@return the number of tokens generated since the start} */
    long produced() {
        return produced;
    }

    /**
     * {@return the number of tokens that a fully used engine would have generated since the start}
     */
    long possible() {
        return steps * settings.slots();
    }

    /** {@return a record for each request that the engine retains} */
    List<RunRecord> records() {
        Collection<Generation> all = generations.values();
        return all.stream()
                .map(
                        each ->
                                new RunRecord(
                                        each.id(),
                                        submissions.get(each.id()),
                                        each.tokens().size(),
                                        each.text(),
                                        each.state()))
                .toList();
    }

    /** Starts queued requests while slots are free. */
    private void startQueued() {
        while (running.size() < settings.slots() && !waiting.isEmpty()) {
            Generation next = waiting.pollFirst();
            next.start();
            running.add(next);
        }
    }

    /** Draws the length of a response, in tokens. */
    private int drawLength(int limit) {
        double drawn = settings.medianTokens() * Math.exp(LENGTH_SIGMA * random.nextGaussian());
        int bounded = (int) Math.max(1, Math.min(settings.maxTokens(), drawn));
        return limit > 0 ? Math.min(limit, bounded) : bounded;
    }
}
