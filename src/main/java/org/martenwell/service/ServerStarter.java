package org.martenwell.service;

import io.activej.net.AbstractReactiveServer;
import io.activej.promise.Promise;
import java.io.IOException;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/** Starts servers and reports addresses that cannot be bound. */
public final class ServerStarter {

    private ServerStarter() {}

    /**
     * Binds the listen addresses of a server.
     *
     * @param server The server.
     * @return Completes once the server listens, or fails with {@link ErrorKind#INPUT_OUTPUT}.
     */
    public static Promise<Void> start(AbstractReactiveServer server) {
        try {
            server.listen();
            return Promise.complete();
        } catch (IOException exception) {
            return Promise.ofException(
                    MartenwellException.of(
                            ErrorKind.INPUT_OUTPUT,
                            "Cannot listen on " + server.getListenAddresses() + ".",
                            exception));
        }
    }
}
