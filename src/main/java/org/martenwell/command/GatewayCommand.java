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

/** Runs a gateway until SIGTERM or SIGINT drains it; SIGHUP checks the settings file. */
enum GatewayCommand implements Command {

    /** The only instance. */
    INSTANCE;

    /** The option with the name of the environment variable that holds the path of the settings. */
    private static final String VARIABLE_OPTION = "settings-variable";

    /** The option with the time after which the gateway drains without a signal, in seconds. */
    private static final String RUN_FOR_OPTION = "run-for";

    private static final double MILLIS_PER_SECOND = 1_000;

    private static final Logger LOGGER = LogManager.getLogger(GatewayCommand.class);

    /** The exit code after a drain. */
    private static final int EXIT_CODE = 0;

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
                        .longOpt(VARIABLE_OPTION)
                        .hasArg()
                        .argName("NAME")
                        .desc("the environment variable that holds the path of the settings")
                        .get());
        options.addOption(
                Option.builder()
                        .longOpt(RUN_FOR_OPTION)
                        .hasArg()
                        .argName("SECONDS")
                        .desc("ends after so long, as the build does to archive its classes")
                        .get());
        return options;
    }

    @Override
    public void run(CommandLine line, PrintStream out) {
        Path path = settingsPath(line);
        GatewaySettings settings = SettingsReader.ofGateway().read(path);
        Eventloop loop = EventLoops.monotonic();
        loop.keepAlive(true);
        GatewayDaemon gateway = new GatewayDaemon(loop, settings, new Random());
        ProcessSignals.handle("TERM", () -> loop.execute(() -> drain(loop, gateway)));
        ProcessSignals.handle("INT", () -> loop.execute(() -> drain(loop, gateway)));
        ProcessSignals.handle("HUP", () -> loop.execute(() -> reload(path, settings)));
        if (line.hasOption(RUN_FOR_OPTION)) {
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
            throw MartenwellException.of(
                    ErrorKind.INTERNAL, "The gateway failed to start.", failure[0]);
        }
    }

    private static Path settingsPath(CommandLine line) {
        if (line.hasOption(OptionSet.SETTINGS)) {
            return Path.of(line.getOptionValue(OptionSet.SETTINGS));
        }
        return Optional.ofNullable(line.getOptionValue(VARIABLE_OPTION))
                .map(System::getenv)
                .map(Path::of)
                .orElseThrow(
                        () ->
                                MartenwellException.of(
                                        ErrorKind.USAGE, "No settings file is given, see --help."));
    }

    private static long runMillis(CommandLine line) {
        try {
            return Math.round(
                    Double.parseDouble(line.getOptionValue(RUN_FOR_OPTION)) * MILLIS_PER_SECOND);
        } catch (NumberFormatException exception) {
            throw MartenwellException.of(
                    ErrorKind.USAGE,
                    "--" + RUN_FOR_OPTION + " requires a number of seconds.",
                    exception);
        }
    }

    /**
     * Drains the gateway and exits. The log is shut down first because a halt skips shutdown hooks.
     *
     * @param loop The event loop.
     * @param gateway The gateway.
     */
    private static void drain(Eventloop loop, GatewayDaemon gateway) {
        gateway.drain()
                .then(gateway::stop)
                .whenComplete(
                        () -> {
                            LogManager.shutdown();
                            Runtime.getRuntime().halt(EXIT_CODE);
                        });
        loop.keepAlive(true);
    }

    /**
     * Reads the settings again and logs whether they differ from the active ones. No setting can
     * change while the gateway runs, so a difference takes effect at the next start.
     *
     * @param path The path of the settings.
     * @param active The active settings.
     */
    private static void reload(Path path, GatewaySettings active) {
        try {
            GatewaySettings read = SettingsReader.ofGateway().read(path);
            LOGGER.info(
                    LogEvent.of("settings-read").with("changed", !read.equals(active)).message());
        } catch (MartenwellException exception) {
            LOGGER.warn(
                    LogEvent.of("settings-refused")
                            .with("reason", exception.getMessage())
                            .message());
        }
    }
}
