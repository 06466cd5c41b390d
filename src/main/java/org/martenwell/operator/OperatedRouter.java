package org.martenwell.operator;

import io.activej.promise.Promise;
import java.util.Optional;
import org.martenwell.peer.ConfigurationResponse;
import org.martenwell.router.DrainReport;
import org.martenwell.router.RouterMetrics;
import org.martenwell.router.RouterStatus;

/** A router as operators see it. */
public interface OperatedRouter {

    /**
     * Returns whether the balancer should send requests here.
     *
     * @return {@code true} if it should.
     */
    boolean ready();

    /**
     * Returns what operators see of this router.
     *
     * @return The status.
     */
    RouterStatus status();

    /**
     * Returns the metrics.
     *
     * @return The metrics.
     */
    RouterMetrics metrics();

    /**
     * Returns the configuration as it is stored, with its version.
     *
     * @return The configuration or empty if none is in force.
     */
    Optional<ConfigurationResponse> configuration();

    /**
     * Stops taking requests and waits for those that run: first the router says that it is not
     * ready but still takes requests until the balancer had time to notice, then it refuses new
     * ones, and then it waits for the rest.
     *
     * @return What was cut off at the deadline, once drained.
     */
    Promise<DrainReport> drain();
}
