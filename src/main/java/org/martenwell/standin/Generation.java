package org.martenwell.standin;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.List;

/** A request in a simulated engine. It continues when the connection of its reader breaks. */
final class Generation {

    private final String id;

    private final int priority;

    private final long number;

    private final int length;

    private final List<String> tokens = new ArrayList<>();

    /** The readers that wait for further tokens. */
    private final List<SettablePromise<Void>> waiters = new ArrayList<>();

    private GenerationState state = GenerationState.WAITING;

    private long readAt;

    private long finishedAt;

    /**
     * Creates a queued request.
     *
     * @param id The request id.
     * @param priority The priority; higher values run first.
     * @param number The sequence number, in order of arrival.
     * @param length The number of tokens to generate.
     */
    Generation(String id, int priority, long number, int length) {
        this.id = id;
        this.priority = priority;
        this.number = number;
        this.length = length;
    }

    /** {@return the request id} */
    String id() {
        return id;
    }

    /** {@return the priority; higher values run first} */
    int priority() {
        return priority;
    }

    /** {@return the sequence number, in order of arrival} */
    long number() {
        return number;
    }

    /** {@return the current state} */
    GenerationState state() {
        return state;
    }

    /** {@return the tokens generated so far} */
    List<String> tokens() {
        return tokens;
    }

    /** Marks the request as running. */
    void start() {
        state = GenerationState.RUNNING;
    }

    /**
     * Generates one token and finishes after the last one.
     *
     * @param now The current time, in milliseconds.
     */
    void produce(long now) {
        tokens.add("t" + tokens.size() + "-" + id.substring(Math.max(0, id.length() - 4)) + " ");
        if (tokens.size() >= length) {
            finish(GenerationState.ENDED, now);
        } else {
            wakeWaiters();
        }
    }

    /**
     * Finishes the request unless it is finished already.
     *
     * @param finalState {@link GenerationState#ENDED} or {@link GenerationState#CANCELLED}.
     * @param now The current time, in milliseconds.
     */
    void finish(GenerationState finalState, long now) {
        if (state == GenerationState.WAITING || state == GenerationState.RUNNING) {
            state = finalState;
            finishedAt = now;
            wakeWaiters();
        }
    }

    /** {@return {@code true} if the request is complete or cancelled} */
    boolean isFinished() {
        return state == GenerationState.ENDED || state == GenerationState.CANCELLED;
    }

    /**
     * Checks whether the request finished before a given time.
     *
     * @param before The time, in milliseconds.
     * @return {@code true} if it finished earlier.
     */
    boolean finishedBefore(long before) {
        return isFinished() && finishedAt < before;
    }

    /**
     * Waits until more than a given number of tokens exist or the request is finished.
     *
     * @param count The number of tokens.
     * @param now The current time, in milliseconds.
     * @return Completes once there are more tokens or no more will follow.
     */
    Promise<Void> awaitMore(int count, long now) {
        readAt = now;
        if (tokens.size() > count || isFinished()) {
            return Promise.complete();
        }
        SettablePromise<Void> waiter = new SettablePromise<>();
        waiters.add(waiter);
        return waiter;
    }

    /** {@return the time of the last read, in milliseconds} */
    long readAt() {
        return readAt;
    }

    /** {@return the text generated so far} */
    String text() {
        return String.join("", tokens);
    }

    private void wakeWaiters() {
        List<SettablePromise<Void>> woken = List.copyOf(waiters);
        waiters.clear();
        woken.forEach(waiter -> waiter.set(null));
    }
}
