package org.martenwell.command;

import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** A command of the executable, such as {@code check}. */
interface Command {

    /** {@return the arguments in the usage line, after the command's name} */
    String arguments();

    /** {@return one sentence for the list of commands and the help} */
    String summary();

    /** {@return a new set of the options that the command accepts} */
    Options options();

    /**
     * Runs the command. Throws a {@link org.martenwell.error.MartenwellException}, whose kind
     * determines the exit code, if the command fails.
     *
     * @param line The parsed command line.
     * @param out The standard output.
     */
    void run(CommandLine line, PrintStream out);
}
