package org.martenwell.service;

import io.activej.common.time.CurrentTimeProvider;
import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.TcpSocket;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.martenwell.error.MartenwellException;
import org.martenwell.observe.Defects;

/** Creates event loops that log uncaught exceptions. */
public final class EventLoops {

    private EventLoops() {}

    /**
     * Creates an event loop for a thread that is started later.
     *
     * @param name The name of the thread.
     * @return The event loop.
     */
    public static Eventloop named(String name) {
        return named(name, CurrentTimeProvider.ofSystem());
    }

    /**
     * Creates an event loop with a clock of its own for a thread that is started later.
     *
     * @param name The name of the thread.
     * @param clock The clock, called on that thread.
     * @return The event loop.
     */
    static Eventloop named(String name, CurrentTimeProvider clock) {
        return Eventloop.builder()
                .withThreadName(name)
                .withTimeProvider(clock)
                .withFatalErrorHandler(EventLoops::log)
                .build();
    }

    /**
     * Creates an event loop for the current thread.
     *
     * @return The event loop.
     */
    public static Eventloop current() {
        return Eventloop.builder()
                .withCurrentThread()
                .withFatalErrorHandler(EventLoops::log)
                .build();
    }

    /**
     * Creates an event loop for the current thread whose clock is monotonic, so that changes of the
     * system time do not affect it.
     *
     * @return The event loop.
     */
    public static Eventloop monotonic() {
        return Eventloop.builder()
                .withTimeProvider(() -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()))
                .withCurrentThread()
                .withFatalErrorHandler(EventLoops::log)
                .build();
    }

    /**
     * Logs uncaught exceptions, except for {@link MartenwellException}, which the receiver of the
     * promise handles, and reports those of a socket to its user. An event loop whose handler
     * throws ends.
     */
    private static void log(Throwable thrown, Object context) {
        if (context instanceof TcpSocket socket) {
            StepGuard.socketFailed(socket, thrown);
        } else if (!(thrown instanceof MartenwellException)) {
            Defects.record(thrown, context, Optional.empty());
        }
    }
}
