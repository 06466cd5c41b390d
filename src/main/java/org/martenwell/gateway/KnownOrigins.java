package org.martenwell.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.martenwell.version.ServiceVersion;
import org.martenwell.version.StreamOrigin;
import org.martenwell.version.StreamOrigins;

/**
 * The versions at which streams began, as known to this gateway: those that it began or continued,
 * those of its failure domain, which it passes on, and those of other domains. In a mesh, all
 * gateways belong to one domain in this respect.
 */
final class KnownOrigins {

    private final StreamOrigins own;

    private final StreamOrigins near;

    private final StreamOrigins far;

    /**
     * Creates an empty instance.
     *
     * @param retentionMillis The time for which origins are retained at least, in milliseconds.
     */
    KnownOrigins(long retentionMillis) {
        own = new StreamOrigins(retentionMillis);
        near = new StreamOrigins(retentionMillis);
        far = new StreamOrigins(retentionMillis);
    }

    /**
     * Changes the retention.
     *
     * @param millis The time for which origins are retained at least, in milliseconds.
     */
    void retain(long millis) {
        own.retain(millis);
        near.retain(millis);
        far.retain(millis);
    }

    /**
     * Adds the origin of a stream that began or continues here.
     *
     * @param origin The origin.
     * @param now The current time, in milliseconds.
     */
    void add(StreamOrigin origin, long now) {
        own.put(origin, now);
    }

    /**
     * Adds the origins that a peer reported.
     *
     * @param origins The origins.
     * @param fromDomain {@code true} if the peer is of this gateway's failure domain.
     * @param now The current time, in milliseconds.
     */
    void learn(List<StreamOrigin> origins, boolean fromDomain, long now) {
        StreamOrigins target = fromDomain ? near : far;
        origins.forEach(each -> target.put(each, now));
    }

    /**
     * Finds the version at which a stream began.
     *
     * @param attempt The key of the attempt that brought its first event.
     * @param now The current time, in milliseconds.
     * @return The stream, with {@link ServiceVersion#UNKNOWN} if what is known is contradictory.
     */
    Optional<ResumedStream> find(long attempt, long now) {
        Optional<ServiceVersion> here = own.find(attempt, now);
        Optional<ServiceVersion> there = agreed(near.find(attempt, now), far.find(attempt, now));
        Optional<ServiceVersion> version = agreed(here, there);
        OriginSource source =
                here.isPresent() && here.equals(version) ? OriginSource.OWN : OriginSource.PEER;
        return version.map(each -> new ResumedStream(each, source));
    }

    private static Optional<ServiceVersion> agreed(
            Optional<ServiceVersion> first, Optional<ServiceVersion> second) {
        if (first.isPresent() && second.isPresent() && !first.equals(second)) {
            return Optional.of(ServiceVersion.UNKNOWN);
        }
        return first.or(() -> second);
    }

    /**
     * Returns the streams of a service that began or continue here.
     *
     * @param service The name of the service.
     * @param now The current time, in milliseconds.
     * @return The origins.
     */
    List<StreamOrigin> own(String service, long now) {
        return own.of(service, now);
    }

    /**
     * Returns the streams of this gateway's failure domain that peers reported.
     *
     * @param now The current time, in milliseconds.
     * @return The origins.
     */
    List<StreamOrigin> near(long now) {
        return new ArrayList<>(near.all(now));
    }

    /** {@return the number of origins} */
    long size() {
        return (long) own.size() + near.size() + far.size();
    }
}
