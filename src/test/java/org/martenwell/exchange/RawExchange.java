package org.martenwell.exchange;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

/** Speaks HTTP by hand, so that what no library sends can be sent. */
final class RawExchange implements AutoCloseable {

    /** How long a read may take, in milliseconds. */
    private static final int READ_MILLIS = 10_000;

    /** The connection. */
    private final Socket socket;

    RawExchange(InetSocketAddress address) throws IOException {
        socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(READ_MILLIS);
    }

    /** Sends text as it is, but for bars, which stand for ends of lines. */
    RawExchange send(String text) throws IOException {
        String lines = text.replace("|", "\r\n");
        socket.getOutputStream().write(lines.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        return this;
    }

    /** Reads until some text arrived. */
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

    /** Reads until the other side closes. */
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

    /** Closes the connection with a reset. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
