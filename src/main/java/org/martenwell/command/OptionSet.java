package org.martenwell.command;

import java.nio.file.Path;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.settings.SettingsReader;

/** Options that several commands share, and how they are read. */
final class OptionSet {

    /** Names a settings file. */
    static final String SETTINGS = "settings";

    /** Names a router's address for operators. */
    static final String OPERATOR = "operator";

    /** Names a file with the operators' token. */
    static final String TOKEN_FILE = "token-file";

    /** The environment variable that holds the operators' token. */
    static final String TOKEN_VARIABLE = "MARTENWELL_TOKEN";

    /** Not instantiated. */
    private OptionSet() {}

    /**
     * Creates the option that names a settings file.
     *
     * @return The option.
     */
    static Option settings() {
        return required(SETTINGS, "FILE", "the settings, JSON with comments");
    }

    /**
     * Creates the option that names a router's address for operators.
     *
     * @return The option.
     */
    static Option operator() {
        return required(
                OPERATOR, "ADDRESS", "a router's address for operators, IP number and port");
    }

    /**
     * Creates the option that names a file with the operators' token.
     *
     * @return The option.
     */
    static Option tokenFile() {
        return optional(
                TOKEN_FILE,
                "FILE",
                "holds the operators' token; without it " + TOKEN_VARIABLE + " does");
    }

    /**
     * Creates an option that has to be given.
     *
     * @param name The name.
     * @param value The name of its value.
     * @param text What it means.
     * @return The option.
     */
    static Option required(String name, String value, String text) {
        return Option.builder().longOpt(name).hasArg().argName(value).desc(text).required().get();
    }

    /**
     * Creates an option that may be given.
     *
     * @param name The name.
     * @param value The name of its value.
     * @param text What it means.
     * @return The option.
     */
    static Option optional(String name, String value, String text) {
        return Option.builder().longOpt(name).hasArg().argName(value).desc(text).get();
    }

    /**
     * Creates an option without a value.
     *
     * @param name The name.
     * @param text What it means.
     * @return The option.
     */
    static Option flag(String name, String text) {
        return Option.builder().longOpt(name).desc(text).get();
    }

    /**
     * Creates a set of options.
     *
     * @param options The options.
     * @return The set.
     */
    static Options of(Option... options) {
        Options set = new Options();
        for (Option option : options) {
            set.addOption(option);
        }
        return set;
    }

    /**
     * Reads a whole number.
     *
     * @param line The parsed command line.
     * @param name The option's name.
     * @param otherwise The number if the option is absent.
     * @param least The least allowed.
     * @param most The most allowed.
     * @return The number.
     */
    static int number(CommandLine line, String name, int otherwise, int least, int most) {
        if (!line.hasOption(name)) {
            return otherwise;
        }
        String text = line.getOptionValue(name);
        if (text.matches("[0-9]{1,9}")) {
            int value = Integer.parseInt(text);
            if (value >= least && value <= most) {
                return value;
            }
        }
        throw MartenwellException.of(
                ErrorKind.USAGE,
                "--" + name + " takes a whole number from " + least + " to " + most + ".");
    }

    /**
     * Reads the operators' token.
     *
     * @param line The parsed command line.
     * @return The token.
     */
    static String token(CommandLine line) {
        if (line.hasOption(TOKEN_FILE)) {
            return SettingsReader.readText(Path.of(line.getOptionValue(TOKEN_FILE))).strip();
        }
        return Optional.ofNullable(System.getenv(TOKEN_VARIABLE))
                .orElseThrow(
                        () ->
                                MartenwellException.of(
                                        ErrorKind.USAGE,
                                        "Give --token-file or set " + TOKEN_VARIABLE + "."));
    }

    /**
     * Reads the one file that a command takes.
     *
     * @param line The parsed command line.
     * @return The file.
     */
    static Path file(CommandLine line) {
        if (line.getArgList().size() != 1) {
            throw MartenwellException.of(ErrorKind.USAGE, "One file is needed.");
        }
        return Path.of(line.getArgList().get(0));
    }
}
