package org.martenwell.standin;

import io.activej.bytebuf.ByteBuf;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.IntPredicate;

/** Reads a stand-in engine's request as events, for one connection. */
final class EventSource {

    /** The request. */
    private final Generation generation;

    /** Writes the events. */
    private final CompletionForms forms;

    /** The index of the next token. */
    private int next;

    /** How many events this connection has carried. */
    private int sent;

    /** {@code true} once the end was sent. */
    private boolean ended;

    /**
     * Creates a source.
     *
     * @param generation The request.
     * @param forms Writes the events.
     * @param from The index of the first token.
     */
    EventSource(Generation generation, CompletionForms forms, int from) {
        this.generation = generation;
        this.forms = forms;
        this.next = from;
    }

    /**
     * Returns the next events.
     *
     * @param shouldDrop Decides by the number of events sent whether the connection breaks.
     * @param reactor Gives the time.
     * @return The events, or {@code null} at the end.
     */
    Promise<ByteBuf> next(IntPredicate shouldDrop, Reactor reactor) {
        if (ended) {
            return Promise.of(null);
        }
        return generation
                .awaitMore(next, reactor.currentTimeMillis())
                .then(
                        () -> {
                            if (shouldDrop.test(sent)) {
                                return Promise.ofException(new IOException("dropped"));
                            }
                            return Promise.of(available());
                        });
    }

    /**
     * Writes all events that are there.
     *
     * @return The events.
     */
    private ByteBuf available() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (next < generation.tokens().size()) {
            bytes.writeBytes(forms.event(next, generation.tokens().get(next)));
            next++;
            sent++;
        }
        if (generation.over()) {
            ended = true;
            if (generation.state() == GenerationState.ENDED) {
                bytes.writeBytes(forms.end(next));
            }
        }
        return ByteBuf.wrapForReading(bytes.toByteArray());
    }
}
