package org.martenwell.schedule;

import org.martenwell.configuration.Pool;

/**
 * Names one queue of a router.
 *
 * @param pool The pool that its requests wait for.
 * @param organisation The organisation that they belong to.
 */
record QueueKey(Pool pool, String organisation) {

    /**
     * Returns the queue of a request.
     *
     * @param request The request.
     * @return The queue.
     */
    static QueueKey of(WaitingRequest request) {
        return new QueueKey(request.pool(), request.organisation());
    }
}
