package org.martenwell.command;

import java.nio.file.Path;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.settings.SettingsReader;

/** Options that several commands share, and methods that read their values. */
final class OptionSet {

    /** The option with the path of a settings file. */
    static final String SETTINGS = "settings";

    /** The option with the address of a router's interface for operators. */
    static final String OPERATOR = "operator";

    /** The option with the path of a file that holds the operators' token. */
    static final String TOKEN_FILE = "token-file";

    /** The environment variable that holds the operators' token if no file is given. */
    static final String TOKEN_VARIABLE = "MARTENWELL_TOKEN";

    private OptionSet() {}

    /** {@return the required option {@link #SETTINGS}} */
    static Option settings() {
        return required(SETTINGS, "FILE", "the settings, JSON with comments");
    }

    /** {@return the required option {@link #OPERATOR}} */
    static Option operator() {
        return required(
                OPERATOR, "ADDRESS", "a router's address for operators, IP number and port");
    }

    /** {@return the optional option {@link #TOKEN_FILE}} */
    static Option tokenFile() {
        return optional(
                TOKEN_FILE,
                "FILE",
                "holds the operators' token; without it " + TOKEN_VARIABLE + " does");
    }

    /**
     * Creates a required option with a value.
     *
     * @param name The long name, without hyphens.
     * @param value The placeholder of the value in the help.
     * @param description The description in the help.
     * @return The option.
     */
    static Option required(String name, String value, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(value)
                .desc(description)
                .required()
                .get();
    }

    /**
     * Creates an optional option with a value.
     *
     * @param name The long name, without hyphens.
     * @param value The placeholder of the value in the help.
     * @param description The description in the help.
     * @return The option.
     */
    static Option optional(String name, String value, String description) {
        return Option.builder().longOpt(name).hasArg().argName(value).desc(description).get();
    }

    /**
     * Creates an option without a value.
     *
     * @param name The long name, without hyphens.
     * @param description The description in the help.
     * @return The option.
     */
    static Option flag(String name, String description) {
        return Option.builder().longOpt(name).desc(description).get();
    }

    /**
     * Collects options.
     *
     * @param options The options.
     * @return A new set of them.
     */
    static Options of(Option... options) {
        Options set = new Options();
        for (Option option : options) {
            set.addOption(option);
        }
        return set;
    }

    /**
     * Reads an integer. Throws an exception if it is malformed or out of range.
     *
     * @param line The parsed command line.
     * @param name The option's name.
     * @param defaultValue The result if the option is absent.
     * @param min The least allowed value.
     * @param max The greatest allowed value.
     * @return The number.
     */
    static int number(CommandLine line, String name, int defaultValue, int min, int max) {
        if (!line.hasOption(name)) {
            return defaultValue;
        }
        String text = line.getOptionValue(name);
        if (text.matches("[0-9]{1,9}")) {
            int value = Integer.parseInt(text);
            if (value >= min && value <= max) {
                return value;
            }
        }
        throw MartenwellException.of(
                ErrorKind.USAGE,
                "--" + name + " requires an integer from " + min + " to " + max + ".");
    }

    /**
     * Reads the operators' token from the file of {@link #TOKEN_FILE} or else from {@link
     * #TOKEN_VARIABLE}. Throws an exception if neither is given.
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
                                        "No operators' token: give --token-file or set "
                                                + TOKEN_VARIABLE
                                                + "."));
    }

    /**
     * Reads the only positional argument, a file. Throws an exception unless there is exactly one.
     *
     * @param line The parsed command line.
     * @return The file.
     */
    static Path file(CommandLine line) {
        if (line.getArgList().size() != 1) {
            throw MartenwellException.of(ErrorKind.USAGE, "Exactly one file is required.");
        }
        return Path.of(line.getArgList().get(0));
    }
}
