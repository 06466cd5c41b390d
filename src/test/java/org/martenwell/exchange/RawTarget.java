package org.martenwell.exchange;

import java.io.IOException;
import java.io.InputStream;
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

    /** Takes connections. */
    private final ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());

    /** How many connections were opened. */
    private final AtomicInteger connections = new AtomicInteger();

    /** The answers in order; the last one is given again. */
    private final String[] answers;

    /** What follows an answer. */
    private final Ending ending;

    RawTarget(Ending ending, String... answers) throws IOException {
        this.answers = answers;
        this.ending = ending;
        Thread thread = new Thread(this::serve, "raw-target");
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    int connections() {
        return connections.get();
    }

    private void serve() {
        int next = 0;
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                connections.incrementAndGet();
                while (readHead(socket.getInputStream())) {
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

    @Override
    public void close() throws IOException {
        server.close();
    }
}
