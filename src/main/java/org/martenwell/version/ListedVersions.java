package org.martenwell.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The versions that the directory lists or listed of late, as known to this gateway and its peers.
 * Entries that have gone matter too, since a stream that began there may still be resumed.
 */
public final class ListedVersions {

    /** The times at which versions were last listed, in milliseconds; those listed now included. */
    private final Map<ServiceVersion, Long> lastListedMillis = new HashMap<>();

    /** The versions that are listed now. */
    private Set<ServiceVersion> listed = Set.of();

    /** The time since which all listed versions are known, in milliseconds. */
    private long coveredSinceMillis = Long.MAX_VALUE;

    /** Creates an instance that knows no versions. */
    public ListedVersions() {}

    /**
     * Replaces the versions that are listed.
     *
     * @param versions The versions of all targets in the directory, draining ones included.
     * @param now The current time, in milliseconds.
     * @param retentionMillis The time after which versions that are no longer listed are forgotten.
     * @return {@code true} if a version was not known before.
     */
    public boolean update(Set<ServiceVersion> versions, long now, long retentionMillis) {
        coveredSinceMillis = Math.min(coveredSinceMillis, now);
        listed.forEach(each -> lastListedMillis.merge(each, now, Math::max));
        lastListedMillis.values().removeIf(each -> now - each > retentionMillis);
        listed = Set.copyOf(versions);
        boolean added = false;
        for (ServiceVersion each : versions) {
            added |= !lastListedMillis.containsKey(each);
            lastListedMillis.merge(each, now, Math::max);
        }
        return added;
    }

    /**
     * Adds what a peer knows.
     *
     * @param history The peer's knowledge.
     * @param now The current time, in milliseconds.
     * @return {@code true} if a version was not known before.
     */
    public boolean merge(VersionHistory history, long now) {
        boolean added = false;
        for (VersionSighting each : history.sightings()) {
            added |= !lastListedMillis.containsKey(each.version());
            lastListedMillis.merge(each.version(), now - each.ageMillis(), Math::max);
        }
        if (history.coveredMillis() >= 0) {
            coveredSinceMillis = Math.min(coveredSinceMillis, now - history.coveredMillis());
        }
        return added;
    }

    /**
     * Returns what is known, for peers.
     *
     * @param now The current time, in milliseconds.
     * @return The versions.
     */
    public VersionHistory history(long now) {
        List<VersionSighting> sightings = new ArrayList<>();
        lastListedMillis.forEach(
                (version, millis) ->
                        sightings.add(
                                new VersionSighting(
                                        version, listed.contains(version) ? 0 : now - millis)));
        long covered = coveredSinceMillis == Long.MAX_VALUE ? -1 : now - coveredSinceMillis;
        return new VersionHistory(covered, sightings);
    }

    /** {@return the versions that are listed or were of late} */
    public Set<ServiceVersion> all() {
        return Set.copyOf(lastListedMillis.keySet());
    }

    /**
     * Returns the versions of a service that were listed of late.
     *
     * @param service The name of the service.
     * @param since The time since which they were listed, in milliseconds.
     * @return The versions.
     */
    public Set<ServiceVersion> since(String service, long since) {
        return lastListedMillis.keySet().stream()
                .filter(each -> each.service().equals(service))
                .filter(each -> listed.contains(each) || lastListedMillis.get(each) >= since)
                .collect(Collectors.toCollection(HashSet::new));
    }

    /**
     * Returns the version of all targets of a service, if it was the only one for some time.
     *
     * @param service The name of the service.
     * @param since The time since which no other version was listed, in milliseconds.
     * @return The version, or empty if there were several or what was listed is not known.
     */
    public Optional<ServiceVersion> only(String service, long since) {
        Set<ServiceVersion> versions = since(service, since);
        return coveredSinceMillis <= since && versions.size() == 1
                ? Optional.of(versions.iterator().next())
                : Optional.empty();
    }
}
