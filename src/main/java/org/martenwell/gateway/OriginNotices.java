package org.martenwell.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.route.Route;
import org.martenwell.version.ServiceVersion;
import org.martenwell.version.StreamOrigin;

/**
 * Selects the origins that peers are notified of: those of the streams that began or continue here
 * and whose version peers can't infer.
 */
final class OriginNotices {

    /**
     * The time that the directory may lag behind the restart of a target at another version, in
     * milliseconds.
     */
    private static final long DIRECTORY_LAG_MILLIS = 1_500;

    private final KnownOrigins known;

    private final VersionWindow window;

    /** The streams that began here of late, the oldest first. */
    private final Deque<RecentStart> recentStarts = new ArrayDeque<>();

    /** The origins of which peers have not been notified yet. */
    private List<StreamOrigin> unsent = new ArrayList<>();

    /** The services that had several versions when the listed versions last changed. */
    private final Set<String> mixedServices = new HashSet<>();

    /** The services of routes that lead to several. */
    private final Set<String> splitServices = new HashSet<>();

    /**
     * The start of a stream here.
     *
     * @param millis The time of its first event, in milliseconds.
     * @param target The id of the target that produced it.
     * @param attempt The key of the attempt.
     */
    private record RecentStart(long millis, String target, long attempt) {}

    /**
     * Creates an instance without notices.
     *
     * @param known The origins that are known here.
     * @param window The versions that were listed of late.
     */
    OriginNotices(KnownOrigins known, VersionWindow window) {
        this.known = known;
        this.window = window;
    }

    /**
     * Adds a stream whose first event was forwarded.
     *
     * @param attempt The key of the attempt.
     * @param target The target that produced it.
     * @param route The route of the request.
     * @param now The current time, in milliseconds.
     * @return {@code true} if peers are to be notified.
     */
    boolean began(long attempt, DirectoryTarget target, Route route, long now) {
        recentStarts.removeIf(each -> now - each.millis() > DIRECTORY_LAG_MILLIS);
        recentStarts.add(new RecentStart(now, target.id(), attempt));
        ServiceVersion version = new ServiceVersion(target.service(), target.version());
        return add(new StreamOrigin(attempt, version), route, now);
    }

    /**
     * Adds the origin of a stream that began or continues here.
     *
     * @param origin The origin.
     * @param route The route of the request.
     * @param now The current time, in milliseconds.
     * @return {@code true} if peers are to be notified.
     */
    boolean add(StreamOrigin origin, Route route, long now) {
        known.add(origin, now);
        String service = origin.version().service();
        boolean split = route.services().size() > 1;
        if (split) {
            splitServices.add(service);
        }
        boolean notify = split || window.recent(service, now).size() > 1;
        if (notify) {
            unsent.add(origin);
        }
        return notify;
    }

    /**
     * Invalidates the streams that began of late at a target whose version has changed. It may have
     * restarted before they began and its entry changed after.
     *
     * @param target The target's id.
     * @param now The current time, in milliseconds.
     */
    void versionChanged(String target, long now) {
        for (RecentStart each : recentStarts) {
            if (each.target().equals(target) && now - each.millis() <= DIRECTORY_LAG_MILLIS) {
                StreamOrigin unknown = new StreamOrigin(each.attempt(), ServiceVersion.UNKNOWN);
                known.add(unknown, now);
                unsent.add(unknown);
            }
        }
    }

    /**
     * Adds all streams of services that have several versions from now on.
     *
     * @param now The current time, in milliseconds.
     */
    void updateMixedServices(long now) {
        Set<String> before = Set.copyOf(mixedServices);
        mixedServices.clear();
        for (ServiceVersion each : window.all()) {
            if (window.recent(each.service(), now).size() > 1) {
                mixedServices.add(each.service());
            }
        }
        for (String each : mixedServices) {
            if (!before.contains(each)) {
                unsent.addAll(known.own(each, now));
            }
        }
    }

    /** {@return the services that have several versions} */
    Set<String> mixedServices() {
        return mixedServices;
    }

    /** {@return and removes the origins of which peers have not been notified yet} */
    List<StreamOrigin> takeUnsent() {
        List<StreamOrigin> taken = unsent;
        unsent = new ArrayList<>();
        return taken;
    }

    /**
     * Returns the origins of all streams that began or continue here and of which peers were
     * notified, those of unknown versions included.
     *
     * @param now The current time, in milliseconds.
     * @return The origins.
     */
    List<StreamOrigin> notified(long now) {
        Set<String> services = new HashSet<>(mixedServices);
        services.addAll(splitServices);
        services.add(ServiceVersion.UNKNOWN.service());
        List<StreamOrigin> origins = new ArrayList<>();
        services.forEach(each -> origins.addAll(known.own(each, now)));
        return origins;
    }
}
