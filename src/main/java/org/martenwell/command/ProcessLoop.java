package org.martenwell.command;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.PrintStream;
import java.util.concurrent.ExecutionException;
import java.util.function.Supplier;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.router.DrainReport;
import org.martenwell.service.ManagedService;

/** Runs a service on an event loop in the current thread until a signal drains it. */
final class ProcessLoop {

    /** The exit code after a drain, even if requests remained at its deadline. */
    private static final int EXIT_CODE = 0;

    private final Eventloop loop;

    private final ManagedService service;

    private final Supplier<Promise<DrainReport>> drain;

    private final PrintStream out;

    /** The exception that prevented the start, or {@code null}. */
    private Exception failure;

    private ProcessLoop(
            Eventloop loop,
            ManagedService service,
            Supplier<Promise<DrainReport>> drain,
            PrintStream out) {
        this.loop = loop;
        this.service = service;
        this.drain = drain;
        this.out = out;
    }

    /**
     * Runs a service until SIGTERM or SIGINT drains it. Doesn't return then, as the process exits;
     * throws an exception if the service fails to start.
     *
     * @param loop The event loop of the current thread.
     * @param service The service.
     * @param drain Drains the service; called on the event loop.
     * @param out The stream for messages about the drain.
     */
    static void run(
            Eventloop loop,
            ManagedService service,
            Supplier<Promise<DrainReport>> drain,
            PrintStream out) {
        new ProcessLoop(loop, service, drain, out).run();
    }

    private void run() {
        loop.keepAlive(true);
        loop.post(
                () ->
                        service.start()
                                .whenResult(this::drainOnSignal)
                                .whenException(
                                        exception -> {
                                            failure = exception;
                                            loop.breakEventloop();
                                        }));
        loop.run();
        if (failure instanceof MartenwellException known) {
            throw known;
        }
        if (failure != null) {
            throw MartenwellException.of(
                    ErrorKind.INTERNAL, "The service failed to start.", failure);
        }
    }

    /** Registers a shutdown hook, which the virtual machine runs on SIGTERM and SIGINT. */
    private void drainOnSignal() {
        Runtime.getRuntime().addShutdownHook(new Thread(this::drainAndExit, "drain"));
    }

    private void drainAndExit() {
        try {
            DrainReport report =
                    loop.<DrainReport>submit(callback -> drain.get().subscribe(callback)).get();
            if (!report.clean()) {
                out.printf(
                        "deadline: %d running cut off, %d waiting not run%n",
                        report.running(), report.waiting());
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException exception) {
            out.println("drain failed: " + exception.getCause());
        }
        out.flush();
        // Without a halt, the exit code would be derived from the signal.
        Runtime.getRuntime().halt(EXIT_CODE);
    }
}
