package org.martenwell.command;

import io.activej.eventloop.Eventloop;
import java.io.PrintStream;
import java.nio.file.Path;
import java.security.SecureRandom;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.martenwell.daemon.RouterDaemon;
import org.martenwell.schedule.SchedulingParameters;
import org.martenwell.service.EventLoops;
import org.martenwell.settings.RouterSettings;
import org.martenwell.settings.SettingsReader;

/** Runs a router until SIGTERM or SIGINT drains it. */
enum RouterCommand implements Command {

    /** The only instance. */
    INSTANCE;

    @Override
    public String arguments() {
        return "--settings FILE";
    }

    @Override
    public String summary() {
        return "Runs a router until SIGTERM or SIGINT drains it.";
    }

    @Override
    public Options options() {
        return OptionSet.of(OptionSet.settings());
    }

    @Override
    public void run(CommandLine line, PrintStream out) {
        Path path = Path.of(line.getOptionValue(OptionSet.SETTINGS));
        RouterSettings settings = SettingsReader.ofRouter().read(path);
        Eventloop loop = EventLoops.current();
        RouterDaemon router =
                new RouterDaemon(
                        loop,
                        settings,
                        SchedulingParameters.DEFAULTS,
                        new SecureRandom().nextLong());
        ProcessLoop.run(loop, router, router::drain, out);
    }
}
