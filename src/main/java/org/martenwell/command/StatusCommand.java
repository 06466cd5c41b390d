package org.martenwell.command;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Prints the status of a router. */
enum StatusCommand implements Command {

    /** The only instance. */
    INSTANCE;

    @Override
    public String arguments() {
        return "--operator ADDRESS";
    }

    @Override
    public String summary() {
        return "Shows a router's readiness, members, coordinated targets, load and service counters.";
    }

    @Override
    public Options options() {
        return OptionSet.of(OptionSet.operator());
    }

    @Override
    public void run(CommandLine line, PrintStream out) {
        OperatorClient client = new OperatorClient(line.getOptionValue(OptionSet.OPERATOR));
        out.print(new String(client.get("/status").body(), StandardCharsets.UTF_8));
    }
}
