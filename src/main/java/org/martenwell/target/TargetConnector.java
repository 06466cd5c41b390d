package org.martenwell.target;

import io.activej.promise.Promise;
import java.util.List;
import org.martenwell.configuration.Target;

/**
 * Talks to targets. A failed call carries an outcome: {@code not-run} only if no byte of the
 * request was written or the target said that it had not started.
 */
public interface TargetConnector {

    /**
     * Sends a request. It is written at most once.
     *
     * @param target The target.
     * @param request The request.
     * @return The beginning of the answer.
     */
    Promise<TargetAnswer> start(Target target, TargetRequest request);

    /**
     * Goes on with a broken stream.
     *
     * @param target The target.
     * @param requestId The request's id.
     * @param lastEvent The last event that arrived whole.
     * @return The beginning of the rest.
     */
    Promise<TargetAnswer> resume(Target target, String requestId, String lastEvent);

    /**
     * Ends a request whose answer nobody wants any more.
     *
     * @param target The target.
     * @param requestId The request's id.
     * @return Completes once the target knows.
     */
    Promise<Void> cancel(Target target, String requestId);

    /**
     * Asks a target for its load.
     *
     * @param target The target.
     * @return Its report.
     */
    Promise<LoadReport> load(Target target);

    /**
     * Asks a target for changes in its prefix cache.
     *
     * @param target The target.
     * @param after The number of the last known event.
     * @return Later events.
     */
    Promise<List<CacheEvent>> cacheEvents(Target target, long after);

    /**
     * Gives a target an order.
     *
     * @param target The target.
     * @param order The order.
     * @return Completes if the target obeyed.
     */
    Promise<Void> order(Target target, TargetOrder order);
}
