package org.martenwell.router;

/** Counts the service of one request whose tokens are not seen while it runs. */
final class ServiceMeter {

    /** Counts service. */
    private final FleetScheduler scheduler;

    /** The organisation served. */
    private final String organisation;

    /** The service that a second is taken to deliver, in units. */
    private final double unitsPerSecond;

    /** When the request started. */
    private final long startedAt;

    /** The service counted so far, in units. */
    private double counted;

    /**
     * Creates a meter of a request that starts now.
     *
     * @param scheduler Counts service.
     * @param organisation The organisation served.
     * @param unitsPerSecond The service that a second is taken to deliver, in units.
     * @param now The time.
     */
    ServiceMeter(FleetScheduler scheduler, String organisation, double unitsPerSecond, long now) {
        this.scheduler = scheduler;
        this.organisation = organisation;
        this.unitsPerSecond = unitsPerSecond;
        this.startedAt = now;
    }

    /**
     * Counts the service up to now by the time that passed.
     *
     * @param now The time.
     */
    void tick(long now) {
        raise((now - startedAt) * unitsPerSecond / 1000);
    }

    /**
     * Counts what is missing up to the true service. What was counted too much stays counted,
     * because counters never fall.
     *
     * @param units The true service in units.
     */
    void end(double units) {
        raise(units);
    }

    /**
     * Raises the service counted.
     *
     * @param units The service to reach, in units.
     */
    private void raise(double units) {
        if (units > counted) {
            scheduler.served(organisation, units - counted);
            counted = units;
        }
    }
}
