package org.martenwell.service;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Reads addresses made of an IP number and a port, without ever asking a name service. */
public final class IpAddress {

    /** Not instantiated. */
    private IpAddress() {}

    /**
     * Parses an address.
     *
     * @param text An IP number and a port, such as {@code 127.0.0.1:8080} or {@code [::1]:8080}.
     * @return The address or empty if the text is none.
     */
    public static Optional<InetSocketAddress> parse(String text) {
        try {
            HostAndPort parts = HostAndPort.fromString(text);
            return Optional.of(
                    new InetSocketAddress(
                            InetAddresses.forString(parts.getHost()), parts.getPort()));
        } catch (IllegalArgumentException | IllegalStateException exception) {
            return Optional.empty();
        }
    }

    /**
     * Parses an address that was checked before.
     *
     * @param text An IP number and a port.
     * @return The address.
     */
    public static InetSocketAddress of(String text) {
        return parse(text)
                .orElseThrow(() -> new IllegalArgumentException(text + " is no IP address"));
    }
}
