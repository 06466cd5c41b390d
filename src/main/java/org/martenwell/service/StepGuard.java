package org.martenwell.service;

import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.martenwell.observe.Defects;

/**
 * Runs the steps of one connection or request, and reports an exception or error of a step to its
 * owner, which ends what was in progress. An event loop would only log it, and close the socket
 * that it was processing without a notice.
 */
public final class StepGuard {

    private final String where;

    private final Supplier<Optional<String>> request;

    private final Consumer<Throwable> listener;

    private StepGuard(
            String where, Supplier<Optional<String>> request, Consumer<Throwable> listener) {
        this.where = where;
        this.request = request;
        this.listener = listener;
    }

    /**
     * Creates a guard for the steps of a request.
     *
     * @param where The owner, for the log.
     * @param request Returns the id of the request, if it has one.
     * @param listener Called with what a step threw, possibly within another step.
     * @return The guard.
     */
    public static StepGuard of(
            String where, Supplier<Optional<String>> request, Consumer<Throwable> listener) {
        return new StepGuard(where, request, listener);
    }

    /**
     * Creates a guard for the user of a socket. It also reports what is thrown within the socket
     * itself while the event loop reads or writes, behind which the loop closes the channel. A
     * socket has one guard.
     *
     * @param socket The socket.
     * @param where The owner, for the log.
     * @param listener Called with what was thrown; it has to close the socket.
     * @return The guard.
     */
    public static StepGuard ofSocket(
            ITcpSocket socket, String where, Consumer<Throwable> listener) {
        StepGuard guard = new StepGuard(where, Optional::empty, listener);
        if (socket instanceof TcpSocket tcp) {
            tcp.setUserData(guard);
        }
        return guard;
    }

    /**
     * Runs a step. This method throws nothing.
     *
     * @param step The step.
     */
    public void run(Runnable step) {
        try {
            step.run();
        } catch (Throwable thrown) {
            failed(thrown);
        }
    }

    /**
     * Returns a step that runs guarded, as for a timer.
     *
     * @param step The step.
     * @return The guarded step.
     */
    public Runnable guarded(Runnable step) {
        return () -> run(step);
    }

    /**
     * Returns a callback that runs guarded.
     *
     * @param callback The callback.
     * @param <T> The type of its argument.
     * @return The guarded callback.
     */
    public <T> Consumer<T> guarded(Consumer<T> callback) {
        return value -> run(() -> callback.accept(value));
    }

    /**
     * Reports what was thrown while an event loop processed a socket.
     *
     * @param socket The socket.
     * @param thrown The exception or error.
     */
    static void socketFailed(TcpSocket socket, Throwable thrown) {
        if (socket.getUserData() instanceof StepGuard guard) {
            guard.failed(thrown);
        } else {
            Defects.record(thrown, socket, Optional.empty());
        }
        if (!socket.isClosed()) {
            closeBehindLoop(socket, thrown);
        }
    }

    /** Fails pending reads and writes of a socket whose channel the event loop is closing. */
    private static void closeBehindLoop(TcpSocket socket, Throwable thrown) {
        try {
            socket.closeEx(
                    thrown instanceof Exception exception
                            ? exception
                            : new IllegalStateException("The socket failed.", thrown));
        } catch (Throwable again) {
            Defects.record(again, socket, Optional.empty());
        }
    }

    private void failed(Throwable thrown) {
        Defects.record(thrown, where, requestId());
        try {
            listener.accept(thrown);
        } catch (Throwable again) {
            Defects.record(again, where, requestId());
        }
    }

    private Optional<String> requestId() {
        try {
            return request.get();
        } catch (Throwable unknown) {
            return Optional.empty();
        }
    }
}
