package org.martenwell.exchange;

import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.nio.NioReactor;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Accepted connections that are not read yet. An iteration of the event loop accepts all
 * connections that have arrived; if it also read them all, it would take so long in a burst that
 * callers of requests in progress could leave unnoticed. So a few are read an iteration.
 */
final class AcceptQueue {

    /** The most connections that are passed on in an iteration of the event loop. */
    private static final int MAX_PER_ITERATION = 16;

    private final NioReactor reactor;

    private final Consumer<ITcpSocket> receiver;

    /** The connections that wait, the oldest first. */
    private final Deque<Waiting> waiting = new ArrayDeque<>();

    /** The loop's time of the last iteration that passed connections on, in milliseconds. */
    private long iterationMillis = Long.MIN_VALUE;

    /** The number of connections that were passed on then. */
    private int passedOn;

    private boolean scheduled;

    /**
     * An accepted connection.
     *
     * @param socket The socket.
     * @param sinceMillis The time at which it was accepted, in milliseconds.
     */
    private record Waiting(ITcpSocket socket, long sinceMillis) {}

    /**
     * Creates an empty queue.
     *
     * @param reactor The event loop.
     * @param receiver Receives the connections in the order in which they were accepted.
     */
    AcceptQueue(NioReactor reactor, Consumer<ITcpSocket> receiver) {
        this.reactor = reactor;
        this.receiver = receiver;
    }

    /**
     * Adds a connection, which is passed on at once if this iteration has passed on few.
     *
     * @param socket The socket.
     */
    void add(ITcpSocket socket) {
        waiting.add(new Waiting(socket, now()));
        passOn();
    }

    /** Passes on all connections, however many there are. */
    void passOnAll() {
        while (!waiting.isEmpty()) {
            receiver.accept(waiting.poll().socket());
        }
    }

    /** {@return the number of connections that wait} */
    int size() {
        return waiting.size();
    }

    /** {@return the time for which the oldest connection has waited, in milliseconds} */
    long ageMillis() {
        return waiting.isEmpty() ? 0 : Math.max(0, now() - waiting.peek().sinceMillis());
    }

    private void passOn() {
        if (iterationMillis != now()) {
            iterationMillis = now();
            passedOn = 0;
        }
        while (passedOn < MAX_PER_ITERATION && !waiting.isEmpty()) {
            passedOn++;
            receiver.accept(waiting.poll().socket());
        }
        if (!scheduled && !waiting.isEmpty()) {
            scheduled = true;
            reactor.postNext(
                    () -> {
                        scheduled = false;
                        passOn();
                    });
        }
    }

    private long now() {
        return reactor.currentTimeMillis();
    }
}
