package org.martenwell.balance;

import java.util.ArrayDeque;
import java.util.Deque;
import org.martenwell.simulation.SimulatedEvents;

/** A simulated engine that processes prompts one after the other beside the running requests. */
final class SequentialEngine implements SimulatedEngine {

    private final FleetModel model;

    private final SimulatedEvents events;

    private final Deque<Runnable> waiting = new ArrayDeque<>();

    private int running;

    private double prefillFreeAt;

    SequentialEngine(FleetModel model, SimulatedEvents events) {
        this.model = model;
        this.events = events;
    }

    @Override
    public boolean accept(SimulatedRequest request, long prefillTokens) {
        if (waiting.size() >= model.maxQueued()) {
            return false;
        }
        waiting.add(() -> start(request, prefillTokens));
        startNext();
        return true;
    }

    @Override
    public boolean idle() {
        return running == 0;
    }

    @Override
    public long tokensAhead() {
        return Math.round(Math.max(0, prefillFreeAt - events.now()) * model.prefillRate());
    }

    @Override
    public boolean hasLongPrefill() {
        return tokensAhead() >= ChunkedEngine.LONG_TOKENS;
    }

    @Override
    public void lose() {
        throw new UnsupportedOperationException();
    }

    private void startNext() {
        while (running < model.capacity().slots() && !waiting.isEmpty()) {
            running++;
            waiting.poll().run();
        }
    }

    private void start(SimulatedRequest request, long prefillTokens) {
        prefillFreeAt = Math.max(events.now(), prefillFreeAt) + prefillTokens / model.prefillRate();
        double first = prefillFreeAt + model.baseMillis();
        double tokenMillis = model.tokenMillis() + model.tokenMillisPerSlot() * running;
        events.schedule(first, request::firstEventArrived);
        events.schedule(
                first + tokenMillis * request.responseTokens(),
                () -> {
                    request.ended();
                    running--;
                    startNext();
                });
    }
}
