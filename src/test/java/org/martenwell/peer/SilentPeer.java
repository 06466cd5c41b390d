package org.martenwell.peer;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A peer that accepts connections, sends a given prefix over each and then stays silent without
 * closing them.
 */
final class SilentPeer implements Closeable {

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    /** The accepted connections, which stay open. */
    private final List<Socket> accepted = new CopyOnWriteArrayList<>();

    private final byte[] prefix;

    /**
     * Listens on a free port.
     *
     * @param prefix The bytes to send over each connection.
     */
    SilentPeer(byte[] prefix) throws IOException {
        this.prefix = prefix;
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
                socket.getOutputStream().write(prefix);
            }
        } catch (IOException expected) {
            // The socket was closed at the end of the test.
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
