package org.martenwell.standin;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.List;

/** One request inside a stand-in engine. It goes on when its reader's connection breaks. */
final class Generation {

    /** The request's id. */
    private final String id;

    /** The request's priority. */
    private final int priority;

    /** The order of arrival. */
    private final long number;

    /** How many tokens it will produce. */
    private final int total;

    /** The tokens produced. */
    private final List<String> tokens = new ArrayList<>();

    /** Those who wait for more tokens. */
    private final List<SettablePromise<Void>> waiters = new ArrayList<>();

    /** How far it is. */
    private GenerationState state = GenerationState.WAITING;

    /** When it was last read, or started to wait for a reader. */
    private long readAt;

    /** When it ended. */
    private long endedAt;

    /**
     * Creates a request that waits.
     *
     * @param id The request's id.
     * @param priority The request's priority.
     * @param number The order of arrival.
     * @param total How many tokens it will produce.
     */
    Generation(String id, int priority, long number, int total) {
        this.id = id;
        this.priority = priority;
        this.number = number;
        this.total = total;
    }

    /**
     * Returns the request's id.
     *
     * @return The id.
     */
    String id() {
        return id;
    }

    /**
     * Returns the request's priority.
     *
     * @return The priority.
     */
    int priority() {
        return priority;
    }

    /**
     * Returns the order of arrival.
     *
     * @return The number.
     */
    long number() {
        return number;
    }

    /**
     * Returns how far it is.
     *
     * @return The state.
     */
    GenerationState state() {
        return state;
    }

    /**
     * Returns the tokens produced.
     *
     * @return The tokens.
     */
    List<String> tokens() {
        return tokens;
    }

    /** Starts it. */
    void run() {
        state = GenerationState.RUNNING;
    }

    /**
     * Produces one token.
     *
     * @param now The time.
     */
    void produce(long now) {
        tokens.add("t" + tokens.size() + "-" + id.substring(Math.max(0, id.length() - 4)) + " ");
        if (tokens.size() >= total) {
            end(GenerationState.ENDED, now);
        } else {
            wake();
        }
    }

    /**
     * Ends it.
     *
     * @param how Whole or cancelled.
     * @param now The time.
     */
    void end(GenerationState how, long now) {
        if (state == GenerationState.WAITING || state == GenerationState.RUNNING) {
            state = how;
            endedAt = now;
            wake();
        }
    }

    /**
     * Returns whether it ended.
     *
     * @return {@code true} if so.
     */
    boolean over() {
        return state == GenerationState.ENDED || state == GenerationState.CANCELLED;
    }

    /**
     * Returns whether it ended long ago.
     *
     * @param before The time before which that is long ago.
     * @return {@code true} if so.
     */
    boolean endedBefore(long before) {
        return over() && endedAt < before;
    }

    /**
     * Waits for more than some number of tokens, or for the end.
     *
     * @param count The number of tokens.
     * @param now The time.
     * @return Completes when there are more.
     */
    Promise<Void> awaitMore(int count, long now) {
        readAt = now;
        if (tokens.size() > count || over()) {
            return Promise.complete();
        }
        SettablePromise<Void> waiter = new SettablePromise<>();
        waiters.add(waiter);
        return waiter;
    }

    /**
     * Returns when it was last read.
     *
     * @return The time.
     */
    long readAt() {
        return readAt;
    }

    /**
     * Returns the whole text so far.
     *
     * @return The text.
     */
    String text() {
        return String.join("", tokens);
    }

    /** Wakes those who wait. */
    private void wake() {
        List<SettablePromise<Void>> woken = List.copyOf(waiters);
        waiters.clear();
        woken.forEach(waiter -> waiter.set(null));
    }
}
