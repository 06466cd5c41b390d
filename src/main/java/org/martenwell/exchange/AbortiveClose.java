package org.martenwell.exchange;

import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.net.StandardSocketOptions;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Selects whether the close of a socket resets its connection and discards unsent bytes. */
final class AbortiveClose {

    private static final Logger LOGGER = LogManager.getLogger(AbortiveClose.class);

    /** The linger time with which a close resets the connection. */
    private static final int RESET = 0;

    /** The linger time with which a close sends what is buffered, in the background. */
    private static final int GRACEFUL = -1;

    private AbortiveClose() {}

    /**
     * Selects how a socket closes, also when the process ends.
     *
     * @param socket The socket.
     * @param abortive {@code true} to reset the connection, {@code false} to close it gracefully.
     */
    static void set(TcpSocket socket, boolean abortive) {
        try {
            socket.getSocketChannel()
                    .setOption(StandardSocketOptions.SO_LINGER, abortive ? RESET : GRACEFUL);
        } catch (IOException exception) {
            LOGGER.debug("The close of a connection could not be selected.", exception);
        }
    }
}
