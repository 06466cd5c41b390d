package org.martenwell.peer;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A peer that takes connections, sends a few bytes over each and then nothing any more. */
final class SilentPeer implements Closeable {

    /** The port. */
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    /** The connections that were taken; all stay open. */
    private final List<Socket> accepted = new CopyOnWriteArrayList<>();

    /** What is sent over each connection. */
    private final byte[] greeting;

    /**
     * Opens the port.
     *
     * @param greeting What is sent over each connection.
     */
    SilentPeer(byte[] greeting) throws IOException {
        this.greeting = greeting;
        Thread thread = new Thread(this::acceptConnections, "silent-peer");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    int connections() {
        return accepted.size();
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket socket = server.accept();
                accepted.add(socket);
                socket.getOutputStream().write(greeting);
            }
        } catch (IOException expected) {
            // The test is over.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket each : accepted) {
            each.close();
        }
    }
}
