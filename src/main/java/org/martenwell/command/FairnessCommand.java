package org.martenwell.command;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.fairness.FairnessReport;
import org.martenwell.fairness.ServiceHistory;
import org.martenwell.fairness.TokenLogParser;

/** Reports from the logs of gateways the least shares that organisations got. */
enum FairnessCommand implements Command {

    /** The only instance. */
    INSTANCE;

    /** The option with the number of organisations to list. */
    private static final String MOST = "most";

    private static final int DEFAULT_MOST = 5;

    private static final int MAX_MOST = 1_000;

    @Override
    public String arguments() {
        return "FILE...";
    }

    @Override
    public String summary() {
        return "Reports the least shares that organisations got over "
                + FairnessReport.WINDOW_SECONDS
                + " s, from the logs of gateways.";
    }

    @Override
    public Options options() {
        return OptionSet.of(OptionSet.optional(MOST, "N", "lists at most N organisations"));
    }

    @Override
    public void run(CommandLine line, PrintStream out) {
        if (line.getArgList().isEmpty()) {
            throw MartenwellException.of(ErrorKind.USAGE, "At least one file is required.");
        }
        ServiceHistory history = new ServiceHistory();
        line.getArgList().forEach(file -> read(Path.of(file), history));
        int most = OptionSet.number(line, MOST, DEFAULT_MOST, 1, MAX_MOST);
        FairnessReport report = FairnessReport.of(history);
        if (report.leastShares().isEmpty()) {
            out.println("No organisation had unserved requests all the time.");
        }
        report.lines(most).forEach(out::println);
    }

    /**
     * Reads a log in UTF-8. Other bytes are replaced, since other processes may share the file.
     *
     * @param file The file.
     * @param history Receives the counts.
     */
    private static void read(Path file, ServiceHistory history) {
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(
                                Files.newInputStream(file), StandardCharsets.UTF_8))) {
            reader.lines()
                    .map(TokenLogParser.INSTANCE::parse)
                    .forEach(entries -> entries.forEach(history::add));
        } catch (IOException | UncheckedIOException exception) {
            throw MartenwellException.of(
                    ErrorKind.INPUT_OUTPUT, file + " is not readable.", exception);
        }
    }
}
