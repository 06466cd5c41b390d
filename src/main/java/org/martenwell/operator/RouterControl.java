package org.martenwell.operator;

import io.activej.promise.Promise;
import java.util.Optional;
import org.martenwell.peer.ConfigurationResponse;
import org.martenwell.router.DrainReport;
import org.martenwell.router.RouterMetrics;
import org.martenwell.router.RouterStatus;

/** The operations of a router that its HTTP interface for operators calls. */
public interface RouterControl {

    /**
     * Checks whether the load balancer should send requests to this router.
     *
     * @return {@code true} if it should.
     */
    boolean ready();

    /** {@return the router's current status, as the path {@code /status} shows it} */
    RouterStatus status();

    /** {@return the metrics, whose registry the path {@code /metrics} exports} */
    RouterMetrics metrics();

    /**
     * {@return the stored text of the active configuration with its version, or empty if none is
     * active}
     */
    Optional<ConfigurationResponse> configuration();

    /**
     * Drains the router. It first reports that it is not ready but still accepts requests, so that
     * the load balancer has time to notice; then it refuses new requests and waits for the others.
     * Repeated calls return the same result.
     *
     * @return The requests that remained at the deadline, once the router has drained.
     */
    Promise<DrainReport> drain();
}
