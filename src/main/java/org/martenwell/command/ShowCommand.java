package org.martenwell.command;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.http.BufferedHttpResponse;
import org.martenwell.http.HeaderFields;
import org.martenwell.operator.OperatorServlet;

/** Prints the active configuration of a router. */
enum ShowCommand implements Command {

    /** The only instance. */
    INSTANCE;

    @Override
    public String arguments() {
        return "--operator ADDRESS";
    }

    @Override
    public String summary() {
        return "Shows a router's active fleet configuration and its version.";
    }

    @Override
    public Options options() {
        return OptionSet.of(OptionSet.operator());
    }

    @Override
    public void run(CommandLine line, PrintStream out) {
        OperatorClient client = new OperatorClient(line.getOptionValue(OptionSet.OPERATOR));
        BufferedHttpResponse response = client.get("/configuration");
        out.println("// version " + versionOf(response));
        out.print(new String(response.body(), StandardCharsets.UTF_8));
        out.println();
    }

    /**
     * Reads the active version of a router.
     *
     * @param client The client of the router.
     * @return The version, 0 if no configuration is active.
     */
    static String version(OperatorClient client) {
        try {
            return versionOf(client.get("/configuration"));
        } catch (MartenwellException failure) {
            if (failure.kind() == ErrorKind.NOT_READY) {
                return "0";
            }
            throw failure;
        }
    }

    private static String versionOf(BufferedHttpResponse response) {
        return HeaderFields.find(response.headers(), OperatorServlet.VERSION).orElse("0");
    }
}
