package org.martenwell.router;

/**
 * Records the service of a running request by elapsed time, for requests whose output tokens can't
 * be counted.
 */
final class ServiceMeter {

    private final FleetScheduler scheduler;

    private final String organisation;

    private final double unitsPerSecond;

    private final long startedAt;

    /** Service recorded so far, in units. */
    private double recorded;

    /**
     * Creates a meter for a request that starts now.
     *
     * @param scheduler The scheduler that records service.
     * @param organisation The organisation that receives the service.
     * @param unitsPerSecond The service units that a second counts for.
     * @param now The current time in milliseconds.
     */
    ServiceMeter(FleetScheduler scheduler, String organisation, double unitsPerSecond, long now) {
        this.scheduler = scheduler;
        this.organisation = organisation;
        this.unitsPerSecond = unitsPerSecond;
        this.startedAt = now;
    }

    /**
     * Records the service up to now, estimated by elapsed time.
     *
     * @param now The current time in milliseconds.
     */
    void update(long now) {
        raiseTo((now - startedAt) * unitsPerSecond / 1000);
    }

    /**
     * Records the rest of the actual service. An estimate that was too high is not corrected,
     * because service counters only increase.
     *
     * @param units The actual service of the request, in units.
     */
    void finish(double units) {
        raiseTo(units);
    }

    private void raiseTo(double units) {
        if (units > recorded) {
            scheduler.recordService(organisation, units - recorded);
            recorded = units;
        }
    }
}
