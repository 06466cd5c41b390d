package org.martenwell.service;

import io.activej.promise.Promise;

/** Something that runs until it is stopped. Both methods are called in its loop's thread. */
public interface ManagedService {

    /**
     * Starts the service.
     *
     * @return Completes once it runs.
     */
    Promise<Void> start();

    /**
     * Stops the service and frees what it holds. Stopping twice does no harm.
     *
     * @return Completes once it stopped.
     */
    Promise<Void> stop();
}
