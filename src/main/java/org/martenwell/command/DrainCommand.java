package org.martenwell.command;

import io.netty.handler.codec.http.HttpMethod;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.martenwell.http.BufferedHttpResponse;

/** Drains a router and waits until it has drained. */
enum DrainCommand implements Command {

    /** The only instance. */
    INSTANCE;

    @Override
    public String arguments() {
        return "--operator ADDRESS";
    }

    @Override
    public String summary() {
        return "Drains a router: refuses new requests and waits until the others have finished.";
    }

    @Override
    public Options options() {
        return OptionSet.of(OptionSet.operator(), OptionSet.tokenFile());
    }

    @Override
    public void run(CommandLine line, PrintStream out) {
        OperatorClient client = new OperatorClient(line.getOptionValue(OptionSet.OPERATOR));
        BufferedHttpResponse response =
                client.change(
                        HttpMethod.POST, "/drain", OptionSet.token(line), List.of(), new byte[0]);
        out.print(new String(response.body(), StandardCharsets.UTF_8));
    }
}
