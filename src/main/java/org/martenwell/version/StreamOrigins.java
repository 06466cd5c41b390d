package org.martenwell.version;

import io.netty.util.collection.LongObjectHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The versions at which recent streams began, by attempt. Entries are retained for one to two
 * retention times, in two generations of which the older one is discarded as a whole.
 */
public final class StreamOrigins {

    /** The most entries of a generation; the older generation is discarded early beyond them. */
    private static final int MAX_GENERATION_SIZE = 400_000;

    /** The shared instance of each version, so that an entry takes only a reference. */
    private final Map<ServiceVersion, ServiceVersion> shared = new HashMap<>();

    private LongObjectHashMap<ServiceVersion> current = new LongObjectHashMap<>();

    private LongObjectHashMap<ServiceVersion> former = new LongObjectHashMap<>();

    /** The time at which the current generation began, in milliseconds. */
    private long rotatedMillis;

    private long retentionMillis;

    /**
     * Creates an empty table.
     *
     * @param retentionMillis The time for which entries are retained at least, in milliseconds.
     */
    public StreamOrigins(long retentionMillis) {
        this.retentionMillis = retentionMillis;
    }

    /**
     * Changes the retention.
     *
     * @param millis The time for which entries are retained at least, in milliseconds.
     */
    public void retain(long millis) {
        retentionMillis = millis;
    }

    /**
     * Adds an origin. If another version is known of the attempt, the version becomes {@link
     * ServiceVersion#UNKNOWN}.
     *
     * @param origin The origin.
     * @param now The current time, in milliseconds.
     */
    public void put(StreamOrigin origin, long now) {
        rotate(now);
        Optional<ServiceVersion> before = find(origin.attempt(), now);
        boolean contradictory = before.isPresent() && !before.get().equals(origin.version());
        ServiceVersion version = contradictory ? ServiceVersion.UNKNOWN : origin.version();
        current.put(origin.attempt(), shared.computeIfAbsent(version, each -> each));
    }

    /**
     * Finds the version at which a stream began.
     *
     * @param attempt The key of the attempt that brought its first event.
     * @param now The current time, in milliseconds.
     * @return The version, {@link ServiceVersion#UNKNOWN} after contradictory information, or empty
     *     if there is no entry.
     */
    public Optional<ServiceVersion> find(long attempt, long now) {
        rotate(now);
        ServiceVersion found = current.get(attempt);
        return Optional.ofNullable(found != null ? found : former.get(attempt));
    }

    /**
     * Returns all streams that began at a service.
     *
     * @param service The name of the service.
     * @param now The current time, in milliseconds.
     * @return The origins in no particular order.
     */
    public List<StreamOrigin> of(String service, long now) {
        return matching(version -> version.service().equals(service), now);
    }

    /**
     * Returns all streams.
     *
     * @param now The current time, in milliseconds.
     * @return The origins in no particular order.
     */
    public List<StreamOrigin> all(long now) {
        return matching(version -> true, now);
    }

    private List<StreamOrigin> matching(Predicate<ServiceVersion> filter, long now) {
        rotate(now);
        List<StreamOrigin> found = new ArrayList<>();
        for (LongObjectHashMap<ServiceVersion> generation : List.of(former, current)) {
            generation.forEach(
                    (attempt, version) -> {
                        if (filter.test(version)) {
                            found.add(new StreamOrigin(attempt, version));
                        }
                    });
        }
        return found;
    }

    /** {@return the number of entries} */
    public int size() {
        return current.size() + former.size();
    }

    private void rotate(long now) {
        boolean expired = now - rotatedMillis >= retentionMillis;
        if (!expired && current.size() < MAX_GENERATION_SIZE) {
            return;
        }
        boolean formerExpired = now - rotatedMillis >= 2 * retentionMillis;
        former = formerExpired ? new LongObjectHashMap<>() : current;
        current = new LongObjectHashMap<>();
        rotatedMillis = now;
    }
}
