package org.martenwell.service;

import io.activej.net.AbstractReactiveServer;
import io.activej.promise.Promise;
import java.io.IOException;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/** Opens the ports of servers. */
public final class Listening {

    /** Not instantiated. */
    private Listening() {}

    /**
     * Lets a server listen.
     *
     * @param server The server.
     * @return Completes if it listens, else fails with {@link ErrorKind#INPUT_OUTPUT}.
     */
    public static Promise<Void> start(AbstractReactiveServer server) {
        try {
            server.listen();
            return Promise.complete();
        } catch (IOException exception) {
            return Promise.ofException(
                    MartenwellException.of(
                            ErrorKind.INPUT_OUTPUT,
                            "The address " + server.getListenAddresses() + " can't be used.",
                            exception));
        }
    }
}
