package org.martenwell.service;

import io.activej.async.exception.AsyncTimeoutException;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * One attempt to open a TCP connection within a timeout. A timer that fires late doesn't end the
 * attempt before the event loop has looked for the connection once more, so that a busy loop
 * doesn't take its own delay for an unreachable peer.
 */
public final class TcpConnector {

    /** The delay of a timer that still counts as punctual, in milliseconds. */
    private static final long TOLERATED_DELAY_MILLIS = 20;

    /** The time after a late timer in which the loop processes pending events, in milliseconds. */
    private static final long RECHECK_MILLIS = 10;

    /** The longest time by which late timers extend an attempt, in milliseconds. */
    private static final long MAX_EXTENSION_MILLIS = 3_000;

    private final NioReactor reactor;

    private final SettablePromise<TcpSocket> result = new SettablePromise<>();

    /** The time for which the timer is scheduled, in milliseconds. */
    private long dueMillis;

    private ScheduledRunnable timer;

    private TcpConnector(NioReactor reactor) {
        this.reactor = reactor;
    }

    /**
     * Opens a connection.
     *
     * @param reactor The event loop.
     * @param address The address to connect to.
     * @param timeoutMillis The timeout, in milliseconds.
     * @param settings The settings of the socket.
     * @return The connected socket, or an exception if the connection is refused or times out.
     */
    public static Promise<TcpSocket> connect(
            NioReactor reactor,
            InetSocketAddress address,
            long timeoutMillis,
            SocketSettings settings) {
        TcpConnector connector = new TcpConnector(reactor);
        connector.schedule(timeoutMillis);
        TcpSocket.connect(
                        reactor,
                        address,
                        Duration.ofMillis(timeoutMillis + MAX_EXTENSION_MILLIS),
                        settings)
                .subscribe(connector::finished);
        return connector.result;
    }

    private void schedule(long delayMillis) {
        dueMillis = reactor.currentTimeMillis() + delayMillis;
        timer = reactor.delayBackground(delayMillis, this::expired);
    }

    private void expired() {
        if (reactor.currentTimeMillis() - dueMillis > TOLERATED_DELAY_MILLIS) {
            schedule(RECHECK_MILLIS);
        } else {
            result.setException(new AsyncTimeoutException("The connection timed out"));
        }
    }

    private void finished(TcpSocket socket, Exception failure) {
        timer.cancel();
        if (!result.isComplete()) {
            if (failure == null) {
                result.set(socket);
            } else {
                result.setException(failure);
            }
        } else if (failure == null) {
            socket.close();
        }
    }
}
