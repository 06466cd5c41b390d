package org.martenwell.router;

import java.util.HashSet;
import java.util.Set;

/** Meters of the running requests. */
final class ServiceMeters {

    private final Set<ServiceMeter> meters = new HashSet<>();

    /** Creates an empty set. */
    ServiceMeters() {}

    /**
     * Adds the meter of a started request.
     *
     * @param meter The meter.
     */
    void add(ServiceMeter meter) {
        meters.add(meter);
    }

    /**
     * Removes the meter of a finished request.
     *
     * @param meter The meter.
     */
    void remove(ServiceMeter meter) {
        meters.remove(meter);
    }

    /**
     * Records the service of all running requests up to now.
     *
     * @param now The current time in milliseconds.
     */
    void update(long now) {
        meters.forEach(meter -> meter.update(now));
    }
}
