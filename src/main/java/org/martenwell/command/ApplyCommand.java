package org.martenwell.command;

import io.netty.handler.codec.http.HttpMethod;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.martenwell.configuration.FleetConfigurationReader;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.http.BufferedHttpResponse;
import org.martenwell.http.HeaderField;
import org.martenwell.operator.OperatorServlet;
import org.martenwell.settings.SettingsReader;

/** Checks a fleet configuration and applies it through any router. */
enum ApplyCommand implements Command {

    /** The only instance. */
    INSTANCE;

    /** The option with the version that the change is based on. */
    private static final String BASE_OPTION = "base";

    /** The option that checks the file and the version without a change. */
    private static final String DRY_RUN_OPTION = "dry-run";

    @Override
    public String arguments() {
        return "--operator ADDRESS --base VERSION [--dry-run] FILE";
    }

    @Override
    public String summary() {
        return "Applies a fleet configuration and reports whether it is active on every router.";
    }

    @Override
    public Options options() {
        return OptionSet.of(
                OptionSet.operator(),
                OptionSet.tokenFile(),
                OptionSet.required(
                        BASE_OPTION,
                        "VERSION",
                        "the version that the change is based on, 0 for the first"),
                OptionSet.flag(
                        DRY_RUN_OPTION, "checks the file and the version but changes nothing"));
    }

    @Override
    public void run(CommandLine line, PrintStream out) {
        Path file = OptionSet.file(line);
        String text = SettingsReader.readText(file);
        FleetConfigurationReader.INSTANCE.read(file.toString(), text);
        String base = line.getOptionValue(BASE_OPTION);
        OperatorClient client = new OperatorClient(line.getOptionValue(OptionSet.OPERATOR));
        if (line.hasOption(DRY_RUN_OPTION)) {
            dryRun(client, base, out);
            return;
        }
        BufferedHttpResponse response =
                client.change(
                        HttpMethod.PUT,
                        "/configuration",
                        OptionSet.token(line),
                        List.of(new HeaderField(OperatorServlet.BASE_VERSION, base)),
                        text.getBytes(StandardCharsets.UTF_8));
        out.print(new String(response.body(), StandardCharsets.UTF_8));
    }

    /**
     * Throws an exception if the active version isn't the one that the change is based on.
     *
     * @param client The client of the router.
     * @param base The version that the change is based on.
     * @param out The stream for the result.
     */
    private static void dryRun(OperatorClient client, String base, PrintStream out) {
        String current = ShowCommand.version(client);
        if (!current.equals(base)) {
            throw MartenwellException.of(
                    ErrorKind.VERSION_CONFLICT, "Version " + current + " is active.");
        }
        out.println("no problems, version " + current + " is in force");
    }
}
