package org.martenwell.version;

import java.util.List;

/**
 * What a gateway knows of the versions that the directory listed of late.
 *
 * @param coveredMillis The time for which the gateway has known all listed versions, in
 *     milliseconds, negative if it knows none yet.
 * @param sightings The versions that were listed in that time.
 */
public record VersionHistory(long coveredMillis, List<VersionSighting> sightings) {

    /**
     * Returns this history as if it were about a shorter time.
     *
     * @param millis The difference, in milliseconds.
     * @return The history, with versions that were listed later by that time and known for less.
     */
    public VersionHistory shortenedBy(long millis) {
        return new VersionHistory(
                coveredMillis < millis ? -1 : coveredMillis - millis,
                sightings.stream()
                        .map(each -> new VersionSighting(each.version(), each.ageMillis() - millis))
                        .toList());
    }
}
