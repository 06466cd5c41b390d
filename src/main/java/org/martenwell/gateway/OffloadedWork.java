package org.martenwell.gateway;

import java.util.Optional;
import org.martenwell.stream.CompleteEventFilter;

/**
 * What another gateway has done of a request that is handled here from now on.
 *
 * @param attempts The number of targets that the request may have been sent to, 0 if it has not
 *     run.
 * @param retryPaid {@code true} if the other gateway took the next attempt from its retry budget.
 * @param forwarded The events that the caller has received of a resumable stream, which is to be
 *     continued behind the last one; empty if no response has begun.
 */
record OffloadedWork(int attempts, boolean retryPaid, Optional<CompleteEventFilter> forwarded) {

    /** That of a gateway that has rejected the request. */
    static final OffloadedWork NONE = new OffloadedWork(0, false, Optional.empty());
}
