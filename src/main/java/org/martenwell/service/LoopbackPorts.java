package org.martenwell.service;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/** Finds free loopback ports for demonstrations and tests. */
public final class LoopbackPorts {

    /** Not instantiated. */
    private LoopbackPorts() {}

    /**
     * Asks the system for free ports.
     *
     * @param count How many.
     * @return Addresses of the form {@code 127.0.0.1:PORT}, all different.
     */
    public static List<String> free(int count) {
        List<ServerSocket> sockets = new ArrayList<>();
        List<String> addresses = new ArrayList<>();
        try {
            for (int index = 0; index < count; index++) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                sockets.add(socket);
                addresses.add("127.0.0.1:" + socket.getLocalPort());
            }
            return addresses;
        } catch (IOException exception) {
            throw MartenwellException.of(
                    ErrorKind.INPUT_OUTPUT, "The system gave no free port.", exception);
        } finally {
            sockets.forEach(LoopbackPorts::close);
        }
    }

    /**
     * Closes a socket.
     *
     * @param socket The socket.
     */
    private static void close(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException exception) {
            throw MartenwellException.of(
                    ErrorKind.INPUT_OUTPUT, "A port could not be freed.", exception);
        }
    }
}
