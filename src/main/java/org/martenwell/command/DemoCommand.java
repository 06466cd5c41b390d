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

/** Runs a complete site on loopback under load and prints the measurements. */
enum DemoCommand implements Command {

    /** The only instance. */
    INSTANCE;

    /** The option with the duration of the measurement. */
    private static final String SECONDS_OPTION = "seconds";

    /** The option with the number of routers. */
    private static final String ROUTERS_OPTION = "routers";

    /** The option with a file for the summary. */
    private static final String SUMMARY_OPTION = "summary";

    /** The default duration of the measurement, in seconds. */
    private static final int DEFAULT_SECONDS = 20;

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
                OptionSet.optional(SECONDS_OPTION, "N", "how long to measure (20)"),
                OptionSet.optional(ROUTERS_OPTION, "N", "how many routers to run (3)"),
                OptionSet.optional(
                        SUMMARY_OPTION, "FILE", "where to write the summary in JSON as well"));
    }

    @Override
    public void run(CommandLine line, PrintStream out) {
        int seconds = OptionSet.number(line, SECONDS_OPTION, DEFAULT_SECONDS, 1, 3_600);
        int routers = OptionSet.number(line, ROUTERS_OPTION, DEFAULT_ROUTERS, 1, 64);
        DemoSummary summary = new Demo(routers, seconds, out).run();
        String json = Json.print(summary);
        printTable(summary, out);
        out.println(json);
        if (line.hasOption(SUMMARY_OPTION)) {
            writeSummary(Path.of(line.getOptionValue(SUMMARY_OPTION)), json);
        }
    }

    private static void printTable(DemoSummary summary, PrintStream out) {
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

    private static void writeSummary(Path file, String json) {
        try {
            Files.writeString(file, json + "\n");
        } catch (IOException exception) {
            throw MartenwellException.of(
                    ErrorKind.INPUT_OUTPUT, file + " cannot be written.", exception);
        }
    }
}
