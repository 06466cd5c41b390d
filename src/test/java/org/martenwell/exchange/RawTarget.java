package org.martenwell.exchange;

import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A target that sends preset bytes in response to each request head. */
final class RawTarget implements AutoCloseable {

    /** The state of the connection after a response. */
    enum Ending {
        /** The connection stays open for the next request. */
        KEEP,
        /** The target closes the connection. */
        CLOSE,
        /** The target resets the connection once it has received another byte. */
        RESET
    }

    /**
     * The interval at which {@link #close} closes the current connection until the thread has
     * ended.
     */
    private static final long JOIN_MILLIS = 10;

    private final ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());

    private final AtomicInteger connections = new AtomicInteger();

    private final AtomicInteger heads = new AtomicInteger();

    /** The responses in order; the last one is repeated. */
    private final String[] responses;

    private final Ending ending;

    private final Thread thread = new Thread(this::serve, "raw-target");

    /** The connection being served, or {@code null}. */
    private volatile Socket served;

    RawTarget(Ending ending, String... responses) throws IOException {
        this.responses = responses;
        this.ending = ending;
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    int connections() {
        return connections.get();
    }

    int heads() {
        return heads.get();
    }

    private void serve() {
        int next = 0;
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                served = socket;
                connections.incrementAndGet();
                while (readHead(socket.getInputStream())) {
                    heads.incrementAndGet();
                    String response = responses[Math.min(next++, responses.length - 1)];
                    socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                    socket.getOutputStream().flush();
                    if (ending == Ending.RESET) {
                        // Waits until the client has read the response, which a reset would
                        // discard.
                        socket.getInputStream().read();
                        socket.setSoLinger(true, 0);
                    }
                    if (ending != Ending.KEEP) {
                        break;
                    }
                }
            } catch (IOException expected) {
                // The client has disconnected.
            }
        }
    }

    private static boolean readHead(InputStream input) throws IOException {
        int lineEnds = 0;
        for (int next = input.read(); next >= 0; next = input.read()) {
            lineEnds = next == '\n' ? lineEnds + 1 : next == '\r' ? lineEnds : 0;
            if (lineEnds == 2) {
                return true;
            }
        }
        return false;
    }

    /**
     * Closes the port and waits for the thread: while {@code accept} blocks, the system still
     * completes connections to the closed port.
     */
    @Override
    public void close() throws IOException {
        server.close();
        while (thread.isAlive()) {
            Socket open = served;
            if (open != null) {
                open.close();
            }
            try {
                thread.join(JOIN_MILLIS);
            } catch (InterruptedException interrupted) {
                throw new InterruptedIOException("interrupted while the port closes");
            }
        }
    }
}
