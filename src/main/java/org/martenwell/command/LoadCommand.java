package org.martenwell.command;

import io.activej.promise.Promise;
import java.io.PrintStream;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.martenwell.json.Json;
import org.martenwell.service.EventLoopThread;
import org.martenwell.settings.SettingsReader;
import org.martenwell.standin.LoadGenerator;
import org.martenwell.standin.LoadSettings;
import org.martenwell.standin.LoadSummary;

/** Sends load to routers and checks the responses of stand-in targets. */
enum LoadCommand implements Command {

    /** The only instance. */
    INSTANCE;

    /** The resource with the JSON schema of the settings. */
    static final String SCHEMA = "/schema/load.schema.json";

    @Override
    public String arguments() {
        return "--settings FILE";
    }

    @Override
    public String summary() {
        return "Sends load to routers on loopback and checks the responses of stand-in targets.";
    }

    @Override
    public Options options() {
        return OptionSet.of(OptionSet.settings());
    }

    @Override
    public void run(CommandLine line, PrintStream out) {
        LoadSettings settings =
                SettingsReader.of(SCHEMA, LoadSettings.class)
                        .read(Path.of(line.getOptionValue(OptionSet.SETTINGS)));
        EventLoopThread loop = EventLoopThread.start("load");
        try {
            LoadGenerator generator =
                    loop.call(() -> Promise.of(new LoadGenerator(loop.loop(), settings)));
            loop.call(generator::run);
            out.println(Json.print(LoadSummary.of(generator, settings.seconds())));
        } finally {
            loop.stop();
        }
    }
}
