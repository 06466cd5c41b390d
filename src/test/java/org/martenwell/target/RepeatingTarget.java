package org.martenwell.target;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntFunction;

/** A target on plain sockets that keeps its connections and responds to each request twice. */
final class RepeatingTarget implements AutoCloseable {

    /** The time at which the second response is sent. */
    enum Timing {
        /** In the same write as the first one. */
        NOW,
        /** A moment later. */
        SOON,
        /** Before the response to the next request on the connection. */
        NEXT
    }

    /**
     * Both responses to one request.
     *
     * @param first The first response with its head.
     * @param second The second response with its head.
     */
    record Responses(String first, String second) {}

    /** The delay of a response that is sent soon, in nanoseconds. */
    private static final long SOON_NANOS = 300_000;

    private final Timing timing;

    /** Makes the responses to a request by its number, which counts from 0. */
    private final IntFunction<Responses> responses;

    private final AtomicInteger requests = new AtomicInteger();

    private final ServerSocket server;

    RepeatingTarget(Timing timing, IntFunction<Responses> responses) throws IOException {
        this.timing = timing;
        this.responses = responses;
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startThread(this::acceptAll);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                startThread(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            String delayed = "";
            while (readRequest(input)) {
                Responses each = responses.apply(requests.getAndIncrement());
                delayed = respond(socket.getOutputStream(), delayed, each);
            }
        } catch (IOException expected) {
            // The client has disconnected.
        }
    }

    /** Responds to a request and returns what is to be sent before the next response. */
    private String respond(OutputStream output, String delayed, Responses each) throws IOException {
        if (timing == Timing.NOW) {
            write(output, each.first() + each.second());
            return "";
        }
        write(output, delayed);
        write(output, each.first());
        if (timing == Timing.NEXT) {
            return each.second();
        }
        LockSupport.parkNanos(SOON_NANOS);
        write(output, each.second());
        return "";
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads a request with its body, or the end of the connection. */
    private static boolean readRequest(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                return false;
            }
            head.append((char) next);
        }
        int length =
                head.toString()
                        .lines()
                        .map(line -> line.toLowerCase(Locale.ROOT))
                        .filter(line -> line.startsWith("content-length:"))
                        .map(line -> Integer.parseInt(line.substring(15).trim()))
                        .findFirst()
                        .orElse(0);
        input.skipNBytes(length);
        return true;
    }

    private static void startThread(Runnable action) {
        Thread thread = new Thread(action, "repeating-target");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
