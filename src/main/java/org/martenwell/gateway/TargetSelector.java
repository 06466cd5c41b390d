package org.martenwell.gateway;

import java.util.Optional;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.version.ServiceVersion;

/**
 * The targets that may serve a request: those of its service, and of one version if it continues a
 * stream.
 *
 * @param service The name of the service.
 * @param version The version that began the stream, empty if any may serve the request.
 */
record TargetSelector(String service, Optional<String> version) {

    /**
     * Creates a selector of all targets of a service.
     *
     * @param service The name of the service.
     * @return The selector.
     */
    static TargetSelector of(String service) {
        return new TargetSelector(service, Optional.empty());
    }

    /**
     * Creates a selector of the targets that can continue a stream.
     *
     * @param version The version that began it.
     * @return The selector.
     */
    static TargetSelector of(ServiceVersion version) {
        return new TargetSelector(version.service(), Optional.of(version.version()));
    }

    /**
     * Checks whether a target may serve the request.
     *
     * @param target The target.
     * @return {@code true} if it may.
     */
    boolean matches(DirectoryTarget target) {
        return target.service().equals(service)
                && (version.isEmpty() || version.get().equals(target.version()));
    }
}
