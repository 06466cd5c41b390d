package org.martenwell.standin;

import io.activej.bytebuf.ByteBuf;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.IntPredicate;

/** The events of a generation, sent over one connection. */
final class EventSource {

    private final Generation generation;

    private final CompletionSerializer serializer;

    private int next;

    /** The number of events sent over this connection. */
    private int sent;

    private boolean ended;

    /**
     * Creates a source of events.
     *
     * @param generation The generation.
     * @param serializer Serializes the events.
     * @param from The index of the first token to send.
     */
    EventSource(Generation generation, CompletionSerializer serializer, int from) {
        this.generation = generation;
        this.serializer = serializer;
        this.next = from;
    }

    /**
     * Waits for further tokens and returns their events.
     *
     * @param shouldDrop Returns, for the number of events sent, {@code true} to break the
     *     connection.
     * @param reactor Provides the current time.
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
                                return Promise.ofException(
                                        new IOException("Connection dropped by fault injection."));
                            }
                            return Promise.of(serializeUnsent());
                        });
    }

    /** Serializes the events of all tokens generated but not sent yet. */
    private ByteBuf serializeUnsent() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (next < generation.tokens().size()) {
            bytes.writeBytes(serializer.event(next, generation.tokens().get(next)));
            next++;
            sent++;
        }
        if (generation.isFinished()) {
            ended = true;
            if (generation.state() == GenerationState.ENDED) {
                bytes.writeBytes(serializer.end(next));
            }
        }
        return ByteBuf.wrapForReading(bytes.toByteArray());
    }
}
