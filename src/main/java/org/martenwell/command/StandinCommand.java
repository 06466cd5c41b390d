package org.martenwell.command;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.PrintStream;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.router.DrainReport;
import org.martenwell.service.EventLoops;
import org.martenwell.service.ManagedService;
import org.martenwell.settings.SettingsReader;
import org.martenwell.standin.PlatformSettings;
import org.martenwell.standin.StandinPlatform;
import org.martenwell.standin.StandinTarget;
import org.martenwell.standin.TargetSettings;

/** Runs a stand-in for the platform or a target. */
enum StandinCommand implements Command {

    /** The only instance. */
    INSTANCE;

    /** The resource with the JSON schema of a stand-in platform's settings. */
    static final String PLATFORM_SCHEMA = "/schema/standin-platform.schema.json";

    /** The resource with the JSON schema of a stand-in target's settings. */
    static final String TARGET_SCHEMA = "/schema/standin-target.schema.json";

    @Override
    public String arguments() {
        return "platform|target --settings FILE";
    }

    @Override
    public String summary() {
        return "Runs a stand-in for the platform or a target, for experiments and tests.";
    }

    @Override
    public Options options() {
        return OptionSet.of(OptionSet.settings());
    }

    @Override
    public void run(CommandLine line, PrintStream out) {
        Path path = Path.of(line.getOptionValue(OptionSet.SETTINGS));
        String kind = line.getArgList().isEmpty() ? "" : line.getArgList().get(0);
        Eventloop loop = EventLoops.current();
        ManagedService standin =
                switch (kind) {
                    case "platform" ->
                            new StandinPlatform(
                                    loop,
                                    SettingsReader.of(PLATFORM_SCHEMA, PlatformSettings.class)
                                            .read(path));
                    case "target" ->
                            new StandinTarget(
                                    loop,
                                    SettingsReader.of(TARGET_SCHEMA, TargetSettings.class)
                                            .read(path));
                    default ->
                            throw MartenwellException.of(
                                    ErrorKind.USAGE,
                                    "The first argument must be platform or target.");
                };
        ProcessLoop.run(loop, standin, () -> Promise.of(new DrainReport(0, 0)), out);
    }
}
