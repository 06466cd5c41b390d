package org.martenwell.router;

import java.util.HashSet;
import java.util.Set;

/** The meters of requests that run now. */
final class ServiceMeters {

    /** The meters. */
    private final Set<ServiceMeter> meters = new HashSet<>();

    /** Creates an empty set. */
    ServiceMeters() {}

    /**
     * Adds the meter of a request that starts.
     *
     * @param meter The meter.
     */
    void add(ServiceMeter meter) {
        meters.add(meter);
    }

    /**
     * Removes the meter of a request that ended.
     *
     * @param meter The meter.
     */
    void remove(ServiceMeter meter) {
        meters.remove(meter);
    }

    /**
     * Counts service up to now.
     *
     * @param now The time.
     */
    void tick(long now) {
        meters.forEach(meter -> meter.tick(now));
    }
}
