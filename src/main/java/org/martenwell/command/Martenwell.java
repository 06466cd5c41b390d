package org.martenwell.command;

import java.io.PrintStream;
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

/** The entry point of the executable. */
public final class Martenwell {

    /** The exit code of success. */
    private static final int SUCCESS = 0;

    /** The commands of processes that serve until they are stopped. */
    private static final Set<String> SERVING = Set.of("router", "gateway", "standin");

    /** The command that shows a summary, among which lines about requests would be lost. */
    private static final String DEMO = "demo";

    /** Asks for help. */
    private static final String HELP = "help";

    /** Receives output. */
    private final PrintStream out;

    /** Receives errors. */
    private final PrintStream errors;

    /**
     * Creates an entry point.
     *
     * @param out Receives output.
     * @param errors Receives errors.
     */
    Martenwell(PrintStream out, PrintStream errors) {
        this.out = out;
        this.errors = errors;
    }

    /**
     * Runs one command and exits with its code.
     *
     * @param arguments The command line.
     */
    public static void main(String[] arguments) {
        String command = arguments.length > 0 ? arguments[0] : HELP;
        LogConfiguration.install(logTarget(command), logLevel(command));
        System.exit(new Martenwell(System.out, System.err).run(arguments));
    }

    /**
     * Returns where a command logs: processes that serve to standard output, commands that print
     * results there to standard error.
     *
     * @param command The command's name.
     * @return Where its lines go.
     */
    static LogTarget logTarget(String command) {
        return SERVING.contains(command) ? LogTarget.SYSTEM_OUT : LogTarget.SYSTEM_ERR;
    }

    /**
     * Returns how much a command logs.
     *
     * @param command The command's name.
     * @return The level.
     */
    private static Level logLevel(String command) {
        return command.equals(DEMO) ? Level.WARN : Level.INFO;
    }

    /**
     * Runs one command.
     *
     * @param arguments The command line.
     * @return The exit code.
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
                        ErrorKind.USAGE, "No command is named " + arguments[0] + ", see --help.");
            }
            run(command.get(), Arrays.copyOfRange(arguments, 1, arguments.length));
            return SUCCESS;
        } catch (MartenwellException failure) {
            errors.println("martenwell: " + failure.kind().code() + ": " + failure.getMessage());
            return failure.kind().exitCode();
        }
    }

    /**
     * Runs one command.
     *
     * @param command The command.
     * @param arguments What follows its name.
     */
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

    /** Prints what commands there are. */
    private void printCommands() {
        out.println("martenwell COMMAND ..., each with --help:");
        for (NamedCommand command : CommandTable.all()) {
            out.printf("  %-8s %s%n", command.name(), command.command().summary());
        }
        out.println("Exit codes are 0 or those of sysexits.h, see docs/operators/errors.md.");
    }

    /**
     * Prints a command's help.
     *
     * @param command The command.
     * @param options Its options.
     */
    private void printHelp(NamedCommand command, Options options) {
        out.println(command.command().summary());
        out.println("martenwell " + command.name() + " " + command.command().arguments());
        for (Option option : options.getOptions()) {
            String value = option.hasArg() ? " " + option.getArgName() : "";
            out.printf("  --%s%s: %s%n", option.getLongOpt(), value, option.getDescription());
        }
    }
}
