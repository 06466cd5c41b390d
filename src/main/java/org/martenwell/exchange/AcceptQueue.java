package org.martenwell.exchange;

import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.nio.NioReactor;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/**
 * Accepted connections that are not read yet. An iteration of the event loop accepts all
 * connections that have arrived; if it also read them all, it would take so long in a burst that
 * callers of requests in progress could leave unnoticed. So a few are read an iteration, and those
 * that have waited for too long are refused without a read, which takes far less time.
 */
final class AcceptQueue {

    /** The most connections that are read in an iteration of the event loop. */
    private static final int MAX_READ = 16;

    /** The most connections that are refused in an iteration of the event loop. */
    private static final int MAX_REFUSED = 64;

    /**
     * The time after which a connection is refused, in milliseconds; longer than the lag at which
     * nearly all requests are refused that are read, which divides by organisation what is
     * admitted.
     */
    private static final long MAX_WAIT_MILLIS = 200;

    private final NioReactor reactor;

    private final LongSupplier clock;

    private final Receiver receiver;

    /** The connections that wait, the oldest first. */
    private final Deque<Waiting> waiting = new ArrayDeque<>();

    /** The loop's time of the last iteration that took connections, in milliseconds. */
    private long iterationMillis = Long.MIN_VALUE;

    /** The number of connections that were read in that iteration. */
    private int read;

    /** The number of connections that were refused in that iteration. */
    private int refused;

    private boolean scheduled;

    /** Receives the connections in the order in which they were accepted. */
    interface Receiver {

        /**
         * Reads a connection.
         *
         * @param socket The socket.
         */
        void read(ITcpSocket socket);

        /**
         * Refuses a connection without reading what has arrived on it.
         *
         * @param socket The socket.
         */
        void refuse(ITcpSocket socket);
    }

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
     * @param clock Provides the time without delays of the event loop, in milliseconds.
     * @param receiver Receives the connections.
     */
    AcceptQueue(NioReactor reactor, LongSupplier clock, Receiver receiver) {
        this.reactor = reactor;
        this.clock = clock;
        this.receiver = receiver;
    }

    /**
     * Adds a connection, which is read at once if this iteration has read few.
     *
     * @param socket The socket.
     */
    void add(ITcpSocket socket) {
        waiting.add(new Waiting(socket, clock.getAsLong()));
        take();
    }

    /** Reads all connections, however many there are. */
    void readAll() {
        while (!waiting.isEmpty()) {
            receiver.read(waiting.poll().socket());
        }
    }

    /** {@return the number of connections that wait} */
    int size() {
        return waiting.size();
    }

    /** {@return the time for which the oldest connection has waited, in milliseconds} */
    long ageMillis() {
        return waiting.isEmpty()
                ? 0
                : Math.max(0, clock.getAsLong() - waiting.peek().sinceMillis());
    }

    private void take() {
        if (iterationMillis != reactor.currentTimeMillis()) {
            iterationMillis = reactor.currentTimeMillis();
            read = 0;
            refused = 0;
        }
        while (refused < MAX_REFUSED && ageMillis() > MAX_WAIT_MILLIS) {
            refused++;
            receiver.refuse(waiting.poll().socket());
        }
        while (read < MAX_READ && !waiting.isEmpty()) {
            read++;
            receiver.read(waiting.poll().socket());
        }
        if (!scheduled && !waiting.isEmpty()) {
            scheduled = true;
            reactor.postNext(
                    () -> {
                        scheduled = false;
                        take();
                    });
        }
    }
}
