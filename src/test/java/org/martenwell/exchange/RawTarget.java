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

/** A target that answers each request head with given bytes and then closes, resets or waits. */
final class RawTarget implements AutoCloseable {

    /** What the target does behind its answer. */
    enum Ending {
        /** It waits for the next request. */
        KEEP,
        /** It closes the connection. */
        CLOSE,
        /** It resets the connection. */
        RESET
    }

    /** How long to wait for the thread before its connection is closed once more. */
    private static final long JOIN_MILLIS = 10;

    /** Takes connections. */
    private final ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());

    /** How many connections were opened. */
    private final AtomicInteger connections = new AtomicInteger();

    /** How many heads of requests came. */
    private final AtomicInteger heads = new AtomicInteger();

    /** The answers in order; the last one is given again. */
    private final String[] answers;

    /** What follows an answer. */
    private final Ending ending;

    /** Serves one connection after the other. */
    private final Thread thread = new Thread(this::serve, "raw-target");

    /** The connection being served or {@code null}. */
    private volatile Socket served;

    RawTarget(Ending ending, String... answers) throws IOException {
        this.answers = answers;
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
                    String answer = answers[Math.min(next++, answers.length - 1)];
                    socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                    socket.getOutputStream().flush();
                    if (ending == Ending.RESET) {
                        // The answer has to be read before the reset, or it would be dropped.
                        socket.getInputStream().read();
                        socket.setSoLinger(true, 0);
                    }
                    if (ending != Ending.KEEP) {
                        break;
                    }
                }
            } catch (IOException expected) {
                // The other side closed; the next connection follows.
            }
        }
    }

    private static boolean readHead(InputStream input) throws IOException {
        int ends = 0;
        for (int next = input.read(); next >= 0; next = input.read()) {
            ends = next == '\n' ? ends + 1 : next == '\r' ? ends : 0;
            if (ends == 2) {
                return true;
            }
        }
        return false;
    }

    /**
     * Closes the port and waits until it is closed. While the thread waits for a connection, the
     * system still completes connections to the port, also after the socket was closed.
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
