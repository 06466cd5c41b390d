package org.martenwell.version;

/**
 * A version of the software of a service's targets. Targets of two versions may serve side by side,
 * but only one of the same version can continue a stream.
 *
 * @param service The name of the service, empty in {@link #UNKNOWN} alone.
 * @param version The version, empty for targets that state none.
 */
public record ServiceVersion(String service, String version) {

    /** The version of a stream about which contradictory information was received. */
    public static final ServiceVersion UNKNOWN = new ServiceVersion("", "");

    /** {@return {@code false} for {@link #UNKNOWN}} */
    public boolean isKnown() {
        return !equals(UNKNOWN);
    }
}
