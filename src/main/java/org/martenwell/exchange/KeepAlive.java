package org.martenwell.exchange;

import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import jdk.net.ExtendedSocketOptions;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.observe.LogEvent;

/** The detection of dead connections on which no data arrives. */
public enum KeepAlive {

    /** No detection; users of the connection apply their own timeouts. */
    NONE {
        @Override
        void apply(SocketChannel channel) {}
    },

    /**
     * TCP keep-alive, for connections on which a call waits long for its response. A peer that
     * vanishes without a reset is detected within {@link #IDLE_SECONDS} plus {@link
     * #INTERVAL_SECONDS}.
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

    /** The idle time before the first probe, in seconds; 1 is the minimum of TCP. */
    static final int IDLE_SECONDS = 1;

    /** The time that a probe waits for its acknowledgement, in seconds; 1 is the minimum of TCP. */
    static final int INTERVAL_SECONDS = 1;

    /** The number of consecutive unacknowledged probes that close the connection. */
    static final int PROBES = 1;

    private static final Logger LOGGER = LogManager.getLogger(KeepAlive.class);

    /**
     * Sets the socket options.
     *
     * @param channel The connected channel.
     * @throws IOException If the system rejects an option; the connection remains usable.
     */
    abstract void apply(SocketChannel channel) throws IOException;

    /**
     * Sets the socket options. A system without support is logged and the connection used without
     * them.
     *
     * @param socket The connected socket.
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
