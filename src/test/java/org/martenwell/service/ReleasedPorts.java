package org.martenwell.service;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.Collection;

/** Checks in tests whether closed ports can be listened on again. */
public final class ReleasedPorts {

    private ReleasedPorts() {}

    /** Returns whether all addresses are free, as the next select of an event loop makes them. */
    public static boolean all(Collection<String> addresses) {
        for (String each : addresses) {
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(IpAddress.of(each));
            } catch (IOException exception) {
                return false;
            }
        }
        return true;
    }
}
