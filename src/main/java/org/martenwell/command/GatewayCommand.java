package org.martenwell.command;

import io.activej.eventloop.Eventloop;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Random;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.gateway.GatewayDaemon;
import org.martenwell.observe.LogEvent;
import org.martenwell.service.EventLoops;
import org.martenwell.settings.GatewaySettings;
import org.martenwell.settings.SettingsReader;

/** Runs a gateway until a signal stops it. */
enum GatewayCommand implements Command {

    /** The only instance. */
    INSTANCE;

    /** The option that names the variable which holds the path of the settings. */
    private static final String VARIABLE = "settings-variable";

    /** The option that ends the gateway after some time. */
    private static final String RUN_FOR = "run-for";

    /** How many milliseconds a second has. */
    private static final double SECOND_MILLIS = 1_000;

    /** The log. */
    private static final Logger LOGGER = LogManager.getLogger(GatewayCommand.class);

    /** The exit code after a drain. */
    private static final int DRAINED = 0;

    @Override
    public String arguments() {
        return "--settings FILE | --settings-variable NAME";
    }

    @Override
    public String summary() {
        return "Runs a gateway until SIGTERM or SIGINT drains it.";
    }

    @Override
    public Options options() {
        Options options = new Options();
        options.addOption(
                Option.builder()
                        .longOpt(OptionSet.SETTINGS)
                        .hasArg()
                        .argName("FILE")
                        .desc("the settings")
                        .get());
        options.addOption(
                Option.builder()
                        .longOpt(VARIABLE)
                        .hasArg()
                        .argName("NAME")
                        .desc("the environment variable that holds the path of the settings")
                        .get());
        options.addOption(
                Option.builder()
                        .longOpt(RUN_FOR)
                        .hasArg()
                        .argName("SECONDS")
                        .desc("ends after so long, as the build does to archive its classes")
                        .get());
        return options;
    }

    @Override
    public void run(CommandLine line, PrintStream out) {
        Path path = path(line);
        GatewaySettings settings = SettingsReader.ofGateway().read(path);
        Eventloop loop = EventLoops.monotonic();
        loop.keepAlive(true);
        GatewayDaemon gateway = new GatewayDaemon(loop, settings, new Random());
        ProcessSignals.handle("TERM", () -> loop.execute(() -> drain(loop, gateway)));
        ProcessSignals.handle("INT", () -> loop.execute(() -> drain(loop, gateway)));
        ProcessSignals.handle("HUP", () -> loop.execute(() -> reload(path, settings)));
        if (line.hasOption(RUN_FOR)) {
            loop.delay(runMillis(line), () -> drain(loop, gateway));
        }
        Exception[] failure = new Exception[1];
        loop.post(
                () ->
                        gateway.start()
                                .whenException(
                                        exception -> {
                                            failure[0] = exception;
                                            loop.breakEventloop();
                                        }));
        loop.run();
        if (failure[0] instanceof MartenwellException known) {
            throw known;
        }
        if (failure[0] != null) {
            throw MartenwellException.of(ErrorKind.INTERNAL, "The start failed.", failure[0]);
        }
    }

    /**
     * Finds the settings.
     *
     * @param line The command line.
     * @return The path of the settings.
     */
    private static Path path(CommandLine line) {
        if (line.hasOption(OptionSet.SETTINGS)) {
            return Path.of(line.getOptionValue(OptionSet.SETTINGS));
        }
        return Optional.ofNullable(line.getOptionValue(VARIABLE))
                .map(System::getenv)
                .map(Path::of)
                .orElseThrow(
                        () ->
                                MartenwellException.of(
                                        ErrorKind.USAGE, "No settings are named, see --help."));
    }

    /**
     * Reads how long the gateway runs.
     *
     * @param line The command line.
     * @return The time in milliseconds.
     */
    private static long runMillis(CommandLine line) {
        try {
            return Math.round(Double.parseDouble(line.getOptionValue(RUN_FOR)) * SECOND_MILLIS);
        } catch (NumberFormatException exception) {
            throw MartenwellException.of(
                    ErrorKind.USAGE, "--" + RUN_FOR + " takes seconds.", exception);
        }
    }

    /**
     * Drains the gateway and ends the process.
     *
     * @param loop The loop.
     * @param gateway The gateway.
     */
    private static void drain(Eventloop loop, GatewayDaemon gateway) {
        gateway.drain()
                .then(gateway::stop)
                .whenComplete(
                        () -> {
                            LogManager.shutdown();
                            Runtime.getRuntime().halt(DRAINED);
                        });
        loop.keepAlive(true);
    }

    /**
     * Reads the settings again. None of them can change while the gateway runs, so a difference is
     * only told.
     *
     * @param path The path of the settings.
     * @param inForce The settings in force.
     */
    private static void reload(Path path, GatewaySettings inForce) {
        try {
            GatewaySettings read = SettingsReader.ofGateway().read(path);
            LOGGER.info(
                    LogEvent.of("settings-read").with("changed", !read.equals(inForce)).message());
        } catch (MartenwellException exception) {
            LOGGER.warn(
                    LogEvent.of("settings-refused")
                            .with("reason", exception.getMessage())
                            .message());
        }
    }
}
