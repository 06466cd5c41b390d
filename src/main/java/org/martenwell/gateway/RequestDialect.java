package org.martenwell.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.martenwell.exchange.Body;
import org.martenwell.exchange.OutboundRequest;
import org.martenwell.prompt.CachedPart;
import org.martenwell.prompt.CachedPartChanges;

/**
 * Translation between the gateway and the headers and documents that a deployment's callers and
 * targets use. Implementations only parse and build messages; the gateway makes all decisions.
 */
public interface RequestDialect {

    /**
     * Reads the metadata of a caller's request.
     *
     * @param headers The request's headers.
     * @return The metadata.
     */
    RequestMetadata read(HttpHeaders headers);

    /**
     * Builds the headers of a request that is forwarded to a target.
     *
     * @param headers The caller's headers.
     * @param metadata The values that the gateway adds.
     * @return The headers, without the hop-by-hop headers of the caller's connection.
     */
    HttpHeaders forTarget(HttpHeaders headers, ForwardMetadata metadata);

    /**
     * Builds the headers of a target's response that is forwarded to a caller.
     *
     * @param headers The target's headers.
     * @return The headers, without the hop-by-hop headers of the target's connection.
     */
    HttpHeaders forCaller(HttpHeaders headers);

    /**
     * Builds the headers of a response that the gateway generates itself.
     *
     * @param metadata The metadata of the caller's request.
     * @return The headers.
     */
    HttpHeaders localResponse(RequestMetadata metadata);

    /**
     * Reads the id of the request that a response names.
     *
     * @param response The response's head.
     * @return The id that the caller of the request gave it, or empty if the response names none.
     */
    Optional<String> requestId(HttpResponse response);

    /**
     * Returns whether a target reports that it did not run the request.
     *
     * @param response The response's head.
     * @return {@code true} if the target did not run the request.
     */
    boolean notRun(HttpResponse response);

    /**
     * Reads a target's availability from a response.
     *
     * @param response The response's head.
     * @param dayMillis The wall-clock time, in milliseconds since the Unix epoch.
     * @return The target's availability.
     */
    AvailabilityNotice notice(HttpResponse response, long dayMillis);

    /**
     * Returns the path at which a target lists its cached prompt parts.
     *
     * @return The path.
     */
    String cachedPartsPath();

    /**
     * Parses a target's list of cached prompt parts.
     *
     * @param body The body of the target's response.
     * @return The cached parts.
     */
    List<CachedPart> parseCachedParts(Body body);

    /**
     * Builds the long-polling request for changes of a target's prompt cache.
     *
     * @param host The target's address as text.
     * @param since The position after the last change that was read, 0 to start from the beginning.
     * @param waitMillis The longest time that the target may wait for a change, in milliseconds.
     * @return The request.
     */
    OutboundRequest cacheChangesRequest(String host, long since, long waitMillis);

    /**
     * Parses changes of a target's prompt cache.
     *
     * @param body The body of the target's response.
     * @return The changes.
     */
    CachedPartChanges parseCacheChanges(Body body);

    /**
     * Returns whether a response was produced by a target rather than corrupted in transit.
     *
     * @param response The response's head.
     * @return {@code true} if the response carries the header that every target sets.
     */
    boolean isFromTarget(HttpResponse response);
}
