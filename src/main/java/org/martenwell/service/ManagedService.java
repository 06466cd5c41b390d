package org.martenwell.service;

import io.activej.promise.Promise;

/** A component with a start and a stop. Both methods are called on the thread of its event loop. */
public interface ManagedService {

    /**
     * Starts the service.
     *
     * @return Completes once the service runs.
     */
    Promise<Void> start();

    /**
     * Stops the service and releases its resources. Idempotent.
     *
     * @return Completes once the service has stopped.
     */
    Promise<Void> stop();
}
