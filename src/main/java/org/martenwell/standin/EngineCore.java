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

/** A stand-in engine that batches continuously: each step gives every running request one token. */
final class EngineCore {

    /** The spread of log-normal lengths. */
    private static final double SIGMA = 1.0;

    /** How long ended requests can still be resumed, in milliseconds. */
    private static final long KEEP_MILLIS = 60_000;

    /** The settings. */
    private final TargetSettings settings;

    /** Draws lengths. */
    private final Random random;

    /** The requests by id. */
    private final Map<String, Generation> generations = new LinkedHashMap<>();

    /** How often each request was started. */
    private final Map<String, Integer> starts = new LinkedHashMap<>();

    /** The requests that wait, the most urgent first. */
    private final TreeSet<Generation> waiting =
            new TreeSet<>(
                    Comparator.comparingInt(Generation::priority)
                            .reversed()
                            .thenComparingLong(Generation::number));

    /** The requests that run. */
    private final List<Generation> running = new ArrayList<>();

    /** The number of the next request. */
    private long number;

    /** Tokens produced, and the most that could have been. */
    private long produced;

    /** The steps made. */
    private long steps;

    /**
     * Creates an idle engine.
     *
     * @param settings The settings.
     */
    EngineCore(TargetSettings settings) {
        this.settings = settings;
        this.random = new Random(settings.seed());
    }

    /**
     * Takes a request.
     *
     * @param id The request's id.
     * @param priority The request's priority.
     * @param limit The most tokens that the caller wants, or 0.
     * @return The request.
     */
    Generation submit(String id, int priority, int limit) {
        number++;
        starts.merge(id, 1, Integer::sum);
        Generation generation = new Generation(id, priority, number, length(limit));
        generations.put(id, generation);
        waiting.add(generation);
        fill();
        return generation;
    }

    /**
     * Finds a request.
     *
     * @param id The request's id.
     * @return The request.
     */
    Optional<Generation> find(String id) {
        return Optional.ofNullable(generations.get(id));
    }

    /**
     * Cancels a request.
     *
     * @param generation The request.
     * @param now The time.
     */
    void cancel(Generation generation, long now) {
        generation.end(GenerationState.CANCELLED, now);
        waiting.remove(generation);
        running.remove(generation);
        fill();
    }

    /**
     * Makes one step.
     *
     * @param now The time.
     */
    void step(long now) {
        steps++;
        for (Generation generation : List.copyOf(running)) {
            generation.produce(now);
            produced++;
        }
        running.removeIf(Generation::over);
        fill();
        if (steps % 1_000 == 0) {
            generations.values().removeIf(each -> each.endedBefore(now - KEEP_MILLIS));
        }
    }

    /**
     * Returns how many requests run.
     *
     * @return The number of requests.
     */
    int running() {
        return running.size();
    }

    /**
     * Returns how many requests wait.
     *
     * @return The number of requests.
     */
    int waiting() {
        return waiting.size();
    }

    /**
     * Returns how many tokens were produced.
     *
     * @return The number since the start.
     */
    long produced() {
        return produced;
    }

    /**
     * Returns how many tokens could have been produced.
     *
     * @return The number since the start.
     */
    long possible() {
        return steps * settings.slots();
    }

    /**
     * Returns what was run.
     *
     * @return A record for each request.
     */
    List<RunRecord> records() {
        Collection<Generation> all = generations.values();
        return all.stream()
                .map(
                        each ->
                                new RunRecord(
                                        each.id(),
                                        starts.get(each.id()),
                                        each.tokens().size(),
                                        each.text(),
                                        each.state()))
                .toList();
    }

    /** Starts requests while there are free places in the batch. */
    private void fill() {
        while (running.size() < settings.slots() && !waiting.isEmpty()) {
            Generation next = waiting.pollFirst();
            next.run();
            running.add(next);
        }
    }

    /**
     * Draws the length of an answer.
     *
     * @param limit The most tokens that the caller wants, or 0.
     * @return The length in tokens.
     */
    private int length(int limit) {
        double drawn = settings.medianTokens() * Math.exp(SIGMA * random.nextGaussian());
        int bounded = (int) Math.max(1, Math.min(settings.maxTokens(), drawn));
        return limit > 0 ? Math.min(limit, bounded) : bounded;
    }
}
