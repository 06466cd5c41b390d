package org.martenwell.command;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.logging.log4j.Level;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.observe.LogConfiguration;
import org.martenwell.observe.LogTarget;

/** The main class of the executable. */
public final class Martenwell {

    private static final int SUCCESS = 0;

    /** The commands that run a server until it is stopped. */
    private static final Set<String> SERVER_COMMANDS = Set.of("router", "gateway", "standin");

    /** The command that logs only warnings, because log lines would hide its summary. */
    private static final String DEMO_COMMAND = "demo";

    /** The option that prints the help. */
    private static final String HELP = "help";

    private final PrintStream out;

    private final PrintStream errors;

    /**
     * Creates an instance that prints to the given streams.
     *
     * @param out The stream for results.
     * @param errors The stream for error messages.
     */
    Martenwell(PrintStream out, PrintStream errors) {
        this.out = out;
        this.errors = errors;
    }

    /**
     * Runs one command and exits with its exit code.
     *
     * @param arguments The command line: the name of a command and its arguments.
     */
    public static void main(String[] arguments) {
        String command = arguments.length > 0 ? arguments[0] : HELP;
        LogConfiguration.install(logTarget(command), logLevel(command));
        System.exit(new Martenwell(utf8(System.out), utf8(System.err)).run(arguments));
    }

    /**
     * Returns a stream that prints text in UTF-8. In some locales standard output prints a question
     * mark for each letter outside ASCII.
     *
     * @param stream Receives the bytes.
     * @return The stream.
     */
    static PrintStream utf8(PrintStream stream) {
        return new PrintStream(stream, true, StandardCharsets.UTF_8);
    }

    /**
     * Returns the stream to which a command logs. Servers log to standard output, other commands to
     * standard error because they print their results to standard output.
     *
     * @param command The command's name, known or not.
     * @return The stream for log lines.
     */
    static LogTarget logTarget(String command) {
        return SERVER_COMMANDS.contains(command) ? LogTarget.SYSTEM_OUT : LogTarget.SYSTEM_ERR;
    }

    private static Level logLevel(String command) {
        return command.equals(DEMO_COMMAND) ? Level.WARN : Level.INFO;
    }

    /**
     * Runs one command and prints its error if it fails.
     *
     * @param arguments The command line.
     * @return The exit code: 0 or one of {@code sysexits.h}.
     */
    int run(String... arguments) {
        try {
            if (arguments.length == 0 || arguments[0].equals("--" + HELP)) {
                printCommands();
                return SUCCESS;
            }
            Optional<NamedCommand> command = CommandTable.find(arguments[0]);
            if (command.isEmpty()) {
                throw MartenwellException.of(
                        ErrorKind.USAGE, "Unknown command " + arguments[0] + ", see --help.");
            }
            run(command.get(), Arrays.copyOfRange(arguments, 1, arguments.length));
            return SUCCESS;
        } catch (MartenwellException failure) {
            errors.println("martenwell: " + failure.kind().code() + ": " + failure.getMessage());
            return failure.kind().exitCode();
        }
    }

    private void run(NamedCommand command, String... arguments) {
        Options options = command.command().options();
        options.addOption(Option.builder().longOpt(HELP).desc("shows this help").get());
        if (Arrays.asList(arguments).contains("--" + HELP)) {
            printHelp(command, options);
            return;
        }
        try {
            CommandLine line = new DefaultParser().parse(options, arguments);
            command.command().run(line, out);
        } catch (ParseException exception) {
            throw MartenwellException.of(ErrorKind.USAGE, exception.getMessage(), exception);
        }
    }

    private void printCommands() {
        out.println("martenwell COMMAND ..., each with --help:");
        for (NamedCommand command : CommandTable.all()) {
            out.printf("  %-8s %s%n", command.name(), command.command().summary());
        }
        out.println("Exit codes are 0 or those of sysexits.h, see docs/operators/errors.md.");
    }

    private void printHelp(NamedCommand command, Options options) {
        out.println(command.command().summary());
        out.println("martenwell " + command.name() + " " + command.command().arguments());
        for (Option option : options.getOptions()) {
            String value = option.hasArg() ? " " + option.getArgName() : "";
            out.printf("  --%s%s: %s%n", option.getLongOpt(), value, option.getDescription());
        }
    }
}
