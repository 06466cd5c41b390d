package org.martenwell.route;

import java.net.IDN;
import java.util.Locale;
import java.util.Optional;

/** Name of a host in the form in which requests state it. */
final class HostName {

    private HostName() {}

    /**
     * Converts a name, whose labels outside ASCII become A-labels (RFC 3490).
     *
     * @param name The name in any case, without a port.
     * @return The name in lower case, empty if it has no such form.
     */
    static Optional<String> of(String name) {
        if (name.chars().allMatch(each -> each < 0x80)) {
            return Optional.of(name.toLowerCase(Locale.ROOT));
        }
        try {
            return Optional.of(IDN.toASCII(name, IDN.ALLOW_UNASSIGNED).toLowerCase(Locale.ROOT));
        } catch (IllegalArgumentException invalid) {
            return Optional.empty();
        }
    }
}
