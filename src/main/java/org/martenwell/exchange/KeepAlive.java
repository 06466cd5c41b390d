package org.martenwell.exchange;

import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import jdk.net.ExtendedSocketOptions;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.observe.LogEvent;

/** How an open connection is checked while nothing arrives on it. */
public enum KeepAlive {

    /** Not at all: whoever uses the connection limits how long it waits. */
    NONE {
        @Override
        void apply(SocketChannel channel) {}
    },

    /**
     * By probes of the operating system, for connections on which a call waits long for an answer.
     * One that went silent without a reset ends within {@link #IDLE_SECONDS} plus {@link
     * #INTERVAL_SECONDS}, so that a gateway has caught up 3 s after it.
     */
    PROBED {
        @Override
        void apply(SocketChannel channel) throws IOException {
            channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
            channel.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, IDLE_SECONDS);
            channel.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, INTERVAL_SECONDS);
            channel.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, PROBES);
        }
    };

    /** How long nothing arrives before the first probe, in seconds; the least that TCP takes. */
    static final int IDLE_SECONDS = 1;

    /** How long a probe waits for its answer, in seconds; the least that TCP takes. */
    static final int INTERVAL_SECONDS = 1;

    /** How many probes in a row go unanswered until the connection ends. */
    static final int PROBES = 1;

    /** The log. */
    private static final Logger LOGGER = LogManager.getLogger(KeepAlive.class);

    /**
     * Sets a connection up.
     *
     * @param channel The connection.
     * @throws IOException If the system refuses; the connection works all the same.
     */
    abstract void apply(SocketChannel channel) throws IOException;

    /**
     * Sets a connection up. Where the system knows no such probes, the connection stays without.
     *
     * @param socket The connection.
     */
    final void apply(TcpSocket socket) {
        try {
            apply(socket.getSocketChannel());
        } catch (IOException | UnsupportedOperationException exception) {
            LOGGER.warn(
                    LogEvent.of("keep-alive-refused")
                            .with("reason", exception.toString())
                            .message());
        }
    }
}
