package org.martenwell.command;

import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** One command of the executable. */
interface Command {

    /**
     * Returns the words that follow the name, for the help.
     *
     * @return The words.
     */
    String arguments();

    /**
     * Returns what the command does.
     *
     * @return A sentence.
     */
    String summary();

    /**
     * Returns the options.
     *
     * @return The options.
     */
    Options options();

    /**
     * Runs the command. It throws an exception with its error kind if it fails.
     *
     * @param line The parsed command line.
     * @param out Receives the output.
     */
    void run(CommandLine line, PrintStream out);
}
