package org.martenwell.schedule;

import org.martenwell.configuration.Pool;

/**
 * Identifies a queue of a router.
 *
 * @param pool The pool that the requests wait for.
 * @param organisation The organisation that the requests belong to.
 */
record QueueKey(Pool pool, String organisation) {

    /**
     * Returns the key of a request's queue.
     *
     * @param request The request.
     * @return The key.
     */
    static QueueKey of(WaitingRequest request) {
        return new QueueKey(request.pool(), request.organisation());
    }
}
