package org.martenwell.gateway;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.martenwell.balance.ServiceAdmission;
import org.martenwell.balance.ServiceChooser;
import org.martenwell.balance.ServiceTime;
import org.martenwell.balance.TargetLoad;
import org.martenwell.balance.UnreportedWork;

/**
 * Routing of the requests of one plain service: the decision to refuse and the choice of a target.
 */
final class PlainRouting {

    private final ServiceChooser chooser;

    private final ServiceAdmission admission;

    private final ServiceTime serviceTime = new ServiceTime();

    /** Estimates the requests that peers have sent to each target since their last reports. */
    private final UnreportedWork unreportedRequests = new UnreportedWork();

    /**
     * Creates the routing of a service without requests.
     *
     * @param chooser Chooses among the targets.
     * @param random Selects the requests to refuse.
     */
    PlainRouting(ServiceChooser chooser, Random random) {
        this.chooser = chooser;
        this.admission = new ServiceAdmission(random);
    }

    /**
     * Updates the size of the fleet.
     *
     * @param others The number of other gateways.
     * @param ageMillis The mean age of their reports, in milliseconds.
     */
    void updateFleet(int others, double ageMillis) {
        unreportedRequests.updateFleet(others, ageMillis);
    }

    /**
     * Decides whether a request is sent rather than refused.
     *
     * @param available The targets that accept requests, at least one.
     * @param objectiveMillis The latency objective of the request's route, in milliseconds.
     * @param now The current time, in milliseconds.
     * @return {@code true} if it is sent.
     */
    boolean admits(List<TargetLoad> available, long objectiveMillis, long now) {
        double requests = 0;
        double slots = 0;
        for (TargetLoad each : available) {
            requests += each.totalLoad(now).requests();
            slots += Math.max(1, each.target().slots());
        }
        return admission.admits(
                requests / available.size(),
                slots / available.size(),
                serviceTime.millis(),
                (double) objectiveMillis,
                now);
    }

    /**
     * Chooses the target of a request.
     *
     * @param available The targets that accept requests.
     * @param now The current time, in milliseconds.
     * @return The target, or empty if there is none.
     */
    Optional<TargetLoad> choose(List<TargetLoad> available, long now) {
        return chooser.choose(available, unreportedRequests.perTarget(available.size(), now), now);
    }

    /**
     * Records that a request is sent.
     *
     * @param now The current time, in milliseconds.
     */
    void recordSent(long now) {
        unreportedRequests.sent(1, now);
    }

    /** {@return the estimated time for which a target runs a request, in milliseconds} */
    long serviceMillis() {
        return Math.round(serviceTime.millis());
    }

    /**
     * Records the end of a successful response.
     *
     * @param responseMillis The time since the request was sent, in milliseconds.
     * @param load The requests at the target when the request was sent, including it.
     * @param slots The number of requests that the target runs at a time.
     */
    void recordResponse(long responseMillis, int load, int slots) {
        serviceTime.observe((double) responseMillis, load, slots);
    }
}
