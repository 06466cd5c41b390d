package org.martenwell.target;

import io.activej.promise.Promise;
import java.util.List;
import org.martenwell.configuration.Target;

/**
 * The operations on targets. A failed call carries an outcome, which is {@code not-run} only if no
 * byte of the request was written or the target declared that it had not started processing.
 */
public interface TargetConnector {

    /**
     * Sends a request. It is written at most once.
     *
     * @param target The target.
     * @param request The request.
     * @return The response, once its head has arrived.
     */
    Promise<TargetResponse> start(Target target, TargetRequest request);

    /**
     * Resumes an interrupted stream.
     *
     * @param target The target.
     * @param requestId The id of the request that started the stream.
     * @param lastEvent The id of the last event received completely.
     * @return The response with the events after it.
     */
    Promise<TargetResponse> resume(Target target, String requestId, String lastEvent);

    /**
     * Cancels a request whose response is no longer needed.
     *
     * @param target The target.
     * @param requestId The request's id.
     * @return Completes once the target has confirmed.
     */
    Promise<Void> cancel(Target target, String requestId);

    /**
     * Queries a target's load.
     *
     * @param target The target.
     * @return Its report.
     */
    Promise<LoadReport> load(Target target);

    /**
     * Queries changes of a target's prefix cache.
     *
     * @param target The target.
     * @param after The number of the last event received, 0 for none.
     * @return The events after it.
     */
    Promise<List<CacheEvent>> cacheEvents(Target target, long after);

    /**
     * Orders a target to load or unload a model.
     *
     * @param target The target.
     * @param order The order.
     * @return Completes once the target has accepted the order, and fails if it rejects it.
     */
    Promise<Void> order(Target target, TargetOrder order);
}
