package org.martenwell.service;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Parses socket addresses of an IP address and a port, without DNS lookups. */
public final class IpAddress {

    private IpAddress() {}

    /**
     * Parses an address.
     *
     * @param text An IP address and a port, such as {@code 127.0.0.1:8080} or {@code [::1]:8080}.
     * @return The address, empty if the text is invalid.
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
     * Parses an address that was validated before.
     *
     * @param text An IP address and a port.
     * @return The address.
     */
    public static InetSocketAddress of(String text) {
        return parse(text)
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        text + " is not an IP address and port"));
    }
}
