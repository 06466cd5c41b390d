package org.martenwell.exchange;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

/** A client that sends arbitrary bytes, for requests that no HTTP library would send. */
final class RawHttpClient implements AutoCloseable {

    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private final Socket socket;

    RawHttpClient(InetSocketAddress address) throws IOException {
        socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    /** Sends text in which each {@code |} stands for a line end. */
    RawHttpClient send(String text) throws IOException {
        String lines = text.replace("|", "\r\n");
        socket.getOutputStream().write(lines.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        return this;
    }

    /** Reads until the received text contains a given text, or to the end of input. */
    String readUntil(String end) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        InputStream input = socket.getInputStream();
        while (!bytes.toString(StandardCharsets.ISO_8859_1).contains(end)) {
            int next = input.read();
            if (next < 0) {
                break;
            }
            bytes.write(next);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads to the end of input; a reset by the server appends {@code (reset)}. */
    String readAll() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        InputStream input = socket.getInputStream();
        try {
            for (int next = input.read(); next >= 0; next = input.read()) {
                bytes.write(next);
            }
        } catch (SocketException reset) {
            bytes.writeBytes("(reset)".getBytes(StandardCharsets.ISO_8859_1));
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads to the end of input and returns the number of bytes; fails after a reset. */
    long countBytes() throws IOException {
        return socket.getInputStream().transferTo(OutputStream.nullOutputStream());
    }

    /** Reads and discards up to a number of bytes; returns how many, or -1 at the end of input. */
    int skip(int most) throws IOException {
        return socket.getInputStream().read(new byte[most]);
    }

    /** Closes the connection with a TCP reset. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
