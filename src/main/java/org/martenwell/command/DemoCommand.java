package org.martenwell.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.martenwell.demo.Demo;
import org.martenwell.demo.DemoSummary;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.json.Json;

/** Runs a whole site on loopback under load. */
enum DemoCommand implements Command {

    /** The only instance. */
    INSTANCE;

    /** Names how long to measure. */
    private static final String SECONDS = "seconds";

    /** Names how many routers to run. */
    private static final String ROUTERS = "routers";

    /** Names a file for the summary. */
    private static final String SUMMARY = "summary";

    /** How long to measure unless told, in seconds. */
    private static final int DEFAULT_SECONDS = 20;

    /** How many routers to run unless told. */
    private static final int DEFAULT_ROUTERS = 3;

    @Override
    public String arguments() {
        return "[--seconds N] [--routers N] [--summary FILE]";
    }

    @Override
    public String summary() {
        return "Runs the cold-chain site on loopback under uneven load and measures it.";
    }

    @Override
    public Options options() {
        return OptionSet.of(
                OptionSet.optional(SECONDS, "N", "how long to measure (20)"),
                OptionSet.optional(ROUTERS, "N", "how many routers to run (3)"),
                OptionSet.optional(SUMMARY, "FILE", "where to write the summary in JSON as well"));
    }

    @Override
    public void run(CommandLine line, PrintStream out) {
        int seconds = OptionSet.number(line, SECONDS, DEFAULT_SECONDS, 1, 3_600);
        int routers = OptionSet.number(line, ROUTERS, DEFAULT_ROUTERS, 1, 64);
        DemoSummary summary = new Demo(routers, seconds, out).run();
        String json = Json.print(summary);
        table(summary, out);
        out.println(json);
        if (line.hasOption(SUMMARY)) {
            write(Path.of(line.getOptionValue(SUMMARY)), json);
        }
    }

    /**
     * Prints the main numbers.
     *
     * @param summary What was measured.
     * @param out Receives the output.
     */
    private static void table(DemoSummary summary, PrintStream out) {
        out.printf("requests                     %12d%n", summary.requests());
        out.printf("answers complete             %12d%n", summary.complete());
        out.printf("answers wrong                %12d%n", summary.wrongAnswers());
        summary.refusals()
                .forEach((code, count) -> out.printf("refused: %-19s %12d%n", code, count));
        out.printf("utilisation                  %12.4f%n", summary.utilisation());
        out.printf("fairness gap, tokens         %12d%n", summary.fairnessGapTokens());
        out.printf("control bytes/router/s       %12.0f%n", summary.controlBytesPerRouterSecond());
        out.printf("platform calls/s             %12.2f%n", summary.platformCallsPerSecond());
        summary.firstTokenMillis()
                .forEach((name, ms) -> out.printf("first token %-16s %12d ms%n", name, ms));
        summary.backloggedFirstTokenMillis()
                .forEach(
                        (name, ms) ->
                                out.printf("backlogged first token %-5s %12d ms%n", name, ms));
    }

    /**
     * Writes the summary.
     *
     * @param file The file.
     * @param json The summary.
     */
    private static void write(Path file, String json) {
        try {
            Files.writeString(file, json + "\n");
        } catch (IOException exception) {
            throw MartenwellException.of(
                    ErrorKind.INPUT_OUTPUT, file + " can't be written.", exception);
        }
    }
}
