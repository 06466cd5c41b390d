package org.martenwell.service;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/** Allocates free loopback ports for demonstrations and tests. */
public final class LoopbackPorts {

    private LoopbackPorts() {}

    /**
     * Allocates ports. Another process may bind a port before the caller does.
     *
     * @param count The number of ports.
     * @return Distinct addresses of the form {@code 127.0.0.1:PORT}.
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
                    ErrorKind.INPUT_OUTPUT, "Cannot allocate a free loopback port.", exception);
        } finally {
            sockets.forEach(LoopbackPorts::close);
        }
    }

    private static void close(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException exception) {
            throw MartenwellException.of(
                    ErrorKind.INPUT_OUTPUT,
                    "Cannot close the socket of an allocated port.",
                    exception);
        }
    }
}
