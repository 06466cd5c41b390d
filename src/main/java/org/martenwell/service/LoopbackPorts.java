package org.martenwell.service;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/**
 * Allocates loopback addresses for demonstrations and tests. Each process has a loopback IP of its
 * own and allocates each of its ports once, so that neither another allocation nor a socket whose
 * port the system chooses takes an allocated address. Where the IP can't be bound, {@code
 * 127.0.0.1} replaces it. Thread-safe.
 */
public final class LoopbackPorts {

    private static final int FIRST_PORT = 10_000;

    private static final int LAST_PORT = 65_535;

    private static final int BYTE_MASK = 0xff;

    private static final String SHARED_IP = "127.0.0.1";

    private static final String OWN_IP = ownIp(ProcessHandle.current().pid());

    private static int nextPort = FIRST_PORT;

    private LoopbackPorts() {}

    /**
     * Allocates addresses for the lifetime of this process.
     *
     * @param count The number of addresses.
     * @return Distinct addresses of the form {@code 127.X.Y.Z:PORT}, none of them allocated before.
     *     Throws {@link ErrorKind#INPUT_OUTPUT} if none are left.
     */
    public static synchronized List<String> free(int count) {
        List<String> addresses = new ArrayList<>();
        while (addresses.size() < count) {
            if (nextPort > LAST_PORT) {
                throw MartenwellException.of(
                        ErrorKind.INPUT_OUTPUT, "Cannot allocate a free loopback port.");
            }
            int port = nextPort++;
            bindable(OWN_IP, port).or(() -> bindable(SHARED_IP, port)).ifPresent(addresses::add);
        }
        return addresses;
    }

    private static Optional<String> bindable(String ip, int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(ip, port));
            return Optional.of(ip + ":" + port);
        } catch (IOException exception) {
            return Optional.empty();
        }
    }

    private static String ownIp(long pid) {
        // Byte 2 is never 0, as it is in the address that all processes share.
        return "127.%d.%d.%d"
                .formatted(
                        1 + (pid >> 16) % (BYTE_MASK - 1), pid >> 8 & BYTE_MASK, pid & BYTE_MASK);
    }
}
