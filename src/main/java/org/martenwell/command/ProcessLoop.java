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

/** Runs a service in this thread's loop until SIGTERM or SIGINT drains it. */
final class ProcessLoop {

    /** The exit code after a drain, whether or not anything was cut off. */
    private static final int DRAINED = 0;

    /** The loop. */
    private final Eventloop loop;

    /** The service. */
    private final ManagedService service;

    /** Drains the service. */
    private final Supplier<Promise<DrainReport>> drain;

    /** Receives messages. */
    private final PrintStream out;

    /** Why the service did not start or {@code null}. */
    private Exception failure;

    /**
     * Creates a loop that does not run yet.
     *
     * @param loop The loop.
     * @param service The service.
     * @param drain Drains the service.
     * @param out Receives messages.
     */
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
     * Runs a service until a signal stops it.
     *
     * @param loop The loop of this thread.
     * @param service The service.
     * @param drain Drains the service.
     * @param out Receives messages.
     */
    static void run(
            Eventloop loop,
            ManagedService service,
            Supplier<Promise<DrainReport>> drain,
            PrintStream out) {
        new ProcessLoop(loop, service, drain, out).run();
    }

    /** Runs the service. */
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
            throw MartenwellException.of(ErrorKind.INTERNAL, "The start failed.", failure);
        }
    }

    /** Drains the service when the virtual machine is told to end. */
    private void drainOnSignal() {
        Runtime.getRuntime().addShutdownHook(new Thread(this::drainAndExit, "drain"));
    }

    /** Drains the service and ends the process. */
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
        // The virtual machine would otherwise exit with the signal's number.
        Runtime.getRuntime().halt(DRAINED);
    }
}
