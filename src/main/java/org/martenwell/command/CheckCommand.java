package org.martenwell.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.martenwell.configuration.FleetConfigurationReader;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.json.JsonDocuments;
import org.martenwell.settings.SettingsReader;
import org.martenwell.standin.LoadSettings;
import org.martenwell.standin.PlatformSettings;
import org.martenwell.standin.TargetSettings;

/** Validates settings and configuration files without using them. */
enum CheckCommand implements Command {

    /** The only instance. */
    INSTANCE;

    @Override
    public String arguments() {
        return "FILE...";
    }

    @Override
    public String summary() {
        return "Checks settings and configuration files and lists all their problems.";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public void run(CommandLine line, PrintStream out) {
        if (line.getArgList().isEmpty()) {
            throw MartenwellException.of(ErrorKind.USAGE, "At least one file is required.");
        }
        List<String> problems = new ArrayList<>();
        for (String file : line.getArgList()) {
            try {
                out.println(file + ": " + checkFile(file) + ", no problems");
            } catch (MartenwellException invalid) {
                if (invalid.kind() != ErrorKind.INVALID_DOCUMENT) {
                    throw invalid;
                }
                problems.add(invalid.getMessage());
            }
        }
        if (!problems.isEmpty()) {
            throw MartenwellException.of(ErrorKind.INVALID_DOCUMENT, String.join("\n", problems));
        }
    }

    /**
     * Validates one file. Its type is recognised by a field that only documents of this type have.
     *
     * @param file The file.
     * @return The type of document, for the output.
     */
    private static String checkFile(String file) {
        String text = SettingsReader.readText(Path.of(file));
        JsonNode root = JsonDocuments.parse(file, text);
        if (root.has("warmUpSeconds")) {
            SettingsReader.of(LoadCommand.SCHEMA, LoadSettings.class).read(file, text);
            return "settings of a load";
        }
        if (root.has("organisations")) {
            FleetConfigurationReader.INSTANCE.read(file, text);
            return "fleet configuration";
        }
        if (root.has("boxes")) {
            SettingsReader.of(StandinCommand.PLATFORM_SCHEMA, PlatformSettings.class)
                    .read(file, text);
            return "settings of a stand-in platform";
        }
        if (root.has("tokensPerSecond")) {
            SettingsReader.of(StandinCommand.TARGET_SCHEMA, TargetSettings.class).read(file, text);
            return "settings of a stand-in target";
        }
        SettingsReader.ofRouter().read(file, text);
        return "settings of a router";
    }
}
