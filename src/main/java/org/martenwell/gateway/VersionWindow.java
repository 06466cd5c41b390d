package org.martenwell.gateway;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.version.ListedVersions;
import org.martenwell.version.ServiceVersion;
import org.martenwell.version.VersionHistory;

/** The versions that the directory listed while any stream that still runs may have begun. */
final class VersionWindow {

    /**
     * The age up to which the directory's list is taken as current if all peers answer, in
     * milliseconds.
     */
    private static final long MAX_LIST_AGE_MILLIS = 1_000;

    private final ListedVersions listed = new ListedVersions();

    /** The versions of the targets in the last list that accept requests. */
    private Set<ServiceVersion> serving = Set.of();

    private long retentionMillis;

    /** The time as of which the directory's list of targets is current, in milliseconds. */
    private long listedAsOfMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a window without versions.
     *
     * @param retentionMillis The time for which a stream may last, in milliseconds.
     */
    VersionWindow(long retentionMillis) {
        this.retentionMillis = retentionMillis;
    }

    /**
     * Changes the size of the window.
     *
     * @param millis The time for which a stream may last, in milliseconds.
     */
    void retain(long millis) {
        retentionMillis = millis;
    }

    /** {@return the time for which a stream may last, in milliseconds} */
    long retentionMillis() {
        return retentionMillis;
    }

    /**
     * Replaces the targets of the directory.
     *
     * @param targets All targets, draining ones included.
     * @param asOfMillis The time as of which they are current, in milliseconds.
     * @param now The current time, in milliseconds.
     * @return {@code true} if a version was not known before.
     */
    boolean list(Collection<DirectoryTarget> targets, long asOfMillis, long now) {
        listedAsOfMillis = asOfMillis;
        Set<ServiceVersion> versions = new HashSet<>();
        serving = new HashSet<>();
        for (DirectoryTarget each : targets) {
            ServiceVersion version = new ServiceVersion(each.service(), each.version());
            versions.add(version);
            if (!each.draining()) {
                serving.add(version);
            }
        }
        return listed.update(versions, now, 2 * retentionMillis);
    }

    /**
     * Applies what a peer knows.
     *
     * @param history The peer's knowledge.
     * @param now The current time, in milliseconds.
     * @return {@code true} if a version was not known before.
     */
    boolean learn(VersionHistory history, long now) {
        return listed.merge(history, now);
    }

    /**
     * Returns what is known, for peers.
     *
     * @param now The current time, in milliseconds.
     * @return The versions.
     */
    VersionHistory history(long now) {
        return listed.history(now);
    }

    /** {@return the versions that are listed or were of late} */
    Set<ServiceVersion> all() {
        return listed.all();
    }

    /**
     * Returns the only version at which a stream can have begun.
     *
     * @param service The name of the service.
     * @param resumedMillis The time at which its caller resumes it, in milliseconds.
     * @return The version, or empty if there are several or what was listed is not known.
     */
    Optional<ServiceVersion> only(String service, long resumedMillis) {
        return listed.only(service, resumedMillis - retentionMillis);
    }

    /**
     * Returns the versions of a service at which streams may have begun that still run somewhere.
     *
     * @param service The name of the service.
     * @param now The current time, in milliseconds.
     * @return The versions.
     */
    Set<ServiceVersion> recent(String service, long now) {
        return listed.since(service, now - 2 * retentionMillis);
    }

    /**
     * Returns whether all versions are known at which streams may have begun that callers resume
     * now.
     *
     * @param now The current time, in milliseconds.
     * @return {@code true} if they are.
     */
    boolean isCovered(long now) {
        return listed.history(now).coveredMillis() >= retentionMillis;
    }

    /**
     * Returns whether targets of a version accept requests, by the last list.
     *
     * @param version The version.
     * @return {@code true} if one does.
     */
    boolean serves(ServiceVersion version) {
        return serving.contains(version);
    }

    /** {@return the time as of which the last list is current, in milliseconds} */
    long listedAsOfMillis() {
        return listedAsOfMillis;
    }

    /**
     * Returns whether the last list was requested after a request was read, so that it has the
     * version at which the request's stream began. The event loop's time is that of its iteration,
     * so a list of the same millisecond may have been requested before.
     *
     * @param requestedMillis The time of the request, in milliseconds.
     * @return {@code true} if it was.
     */
    boolean isListedAfter(long requestedMillis) {
        return listedAsOfMillis > requestedMillis;
    }

    /**
     * Returns whether the last list is recent enough to decide on a request that no peer knows.
     *
     * @param requestedMillis The time of the request, in milliseconds.
     * @return {@code true} if it is.
     */
    boolean isCurrentAt(long requestedMillis) {
        return listedAsOfMillis >= requestedMillis - MAX_LIST_AGE_MILLIS;
    }
}
