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
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/** The entry point of the executable. */
public final class Martenwell {

    /** The exit code of success. */
    private static final int SUCCESS = 0;

    /** The commands of processes that serve until they are stopped. */
    private static final Set<String> SERVING = Set.of("router", "gateway", "standin");

    /** The property that tells the log where to write. */
    private static final String LOG_TARGET = "martenwell.log.target";

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
        directLogs(arguments);
        System.exit(new Martenwell(System.out, System.err).run(arguments));
    }

    /**
     * Lets processes that serve log to standard output. Commands that print results there log to
     * standard error. Must come before anything logs.
     *
     * @param arguments The command line.
     */
    static void directLogs(String... arguments) {
        boolean serves = arguments.length > 0 && SERVING.contains(arguments[0]);
        System.setProperty(LOG_TARGET, serves ? "SYSTEM_OUT" : "SYSTEM_ERR");
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
        for (NamedCommand command : CommandTable.COMMANDS) {
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
