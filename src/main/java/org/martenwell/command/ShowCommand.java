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

/** Shows the configuration in force at a router. */
enum ShowCommand implements Command {

    /** The only instance. */
    INSTANCE;

    @Override
    public String arguments() {
        return "--operator ADDRESS";
    }

    @Override
    public String summary() {
        return "Shows the fleet configuration in force at a router, its version first.";
    }

    @Override
    public Options options() {
        return OptionSet.of(OptionSet.operator());
    }

    @Override
    public void run(CommandLine line, PrintStream out) {
        OperatorClient client = new OperatorClient(line.getOptionValue(OptionSet.OPERATOR));
        BufferedHttpResponse answer = client.get("/configuration");
        out.println("// version " + versionOf(answer));
        out.print(new String(answer.body(), StandardCharsets.UTF_8));
        out.println();
    }

    /**
     * Asks for the version in force.
     *
     * @param client Calls the router.
     * @return The version, 0 if there is none.
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

    /**
     * Reads the version of an answer.
     *
     * @param answer The answer.
     * @return The version.
     */
    private static String versionOf(BufferedHttpResponse answer) {
        return HeaderFields.find(answer.headers(), OperatorServlet.VERSION).orElse("0");
    }
}
