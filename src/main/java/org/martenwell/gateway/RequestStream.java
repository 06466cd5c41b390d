package org.martenwell.gateway;

import java.util.Optional;
import java.util.function.Consumer;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.error.ErrorKind;
import org.martenwell.route.Route;
import org.martenwell.version.ServiceVersion;

/**
 * The stream that a request begins or resumes. A stream is only continued at the version that began
 * it.
 */
final class RequestStream {

    private final GatewayCore core;

    private final RequestMetadata metadata;

    /** Set once the request may only be continued at the version that began its stream. */
    private boolean begun;

    /** Set if another gateway has forwarded events of the request, which is continued here. */
    private boolean continued;

    /** The search for the version of the stream that the request resumes, empty if it is new. */
    private Optional<StreamLookup> resumption = Optional.empty();

    /** Set once the first event of this request was counted. */
    private boolean eventCounted;

    /**
     * Creates the stream of a request that has sent its caller no event.
     *
     * @param core The state that all requests share.
     * @param metadata The metadata of the request.
     */
    RequestStream(GatewayCore core, RequestMetadata metadata) {
        this.core = core;
        this.metadata = metadata;
    }

    /** Continues the stream of this request here, of which another gateway forwarded events. */
    void continueHere() {
        continued = true;
    }

    /**
     * Returns whether the request resumes a stream.
     *
     * @param route The request's route.
     * @return {@code true} if the version that began the stream has to be found.
     */
    boolean resumes(Route route) {
        return (continued || metadata.lastEventId().isPresent()) && route.resumable();
    }

    /** Returns the id of the attempt that brought the first event, empty if it isn't known. */
    private Optional<String> firstAttempt() {
        boolean begunByCaller = metadata.lastEventId().isPresent();
        return continued && !begunByCaller ? metadata.requestId() : metadata.resumedAttempt();
    }

    /**
     * Searches the version that began the stream which the request resumes.
     *
     * @param route The request's route.
     * @param remainingMillis The time until the request's deadline, in milliseconds.
     * @param listener Receives the result, possibly within this call.
     */
    void find(Route route, long remainingMillis, Consumer<StreamLookup> listener) {
        core.streams().find(firstAttempt(), route, remainingMillis, listener);
    }

    /**
     * Resumes the stream at the version that was found.
     *
     * @param lookup The result of the search.
     * @param route The request's route.
     * @return The version, or empty if it is not known or the route no longer leads to its service.
     */
    Optional<ServiceVersion> resume(StreamLookup lookup, Route route) {
        resumption = Optional.of(lookup);
        if (lookup.stream().isEmpty()) {
            return Optional.empty();
        }
        ServiceVersion version = lookup.stream().get().version();
        core.log().streams().found(requestId(), firstAttempt(), lookup.stream().get());
        if (!route.leadsTo(version.service())) {
            return Optional.empty();
        }
        firstAttempt().ifPresent(attempt -> core.streams().continued(attempt, version, route));
        begun = true;
        return Optional.of(version);
    }

    /** Counts the request, once, because it brought its caller an event of a resumable stream. */
    void countEvent() {
        if (!eventCounted) {
            eventCounted = true;
            core.log().streams().started(resumption.isPresent());
        }
    }

    /** {@return {@code true} if the stream may only be continued at the version that began it} */
    boolean begun() {
        return begun;
    }

    /**
     * Records that the stream began with an event of this request.
     *
     * @param target The target that sent the event.
     * @param route The request's route.
     * @return The version that began the stream.
     */
    ServiceVersion begin(DirectoryTarget target, Route route) {
        begun = true;
        metadata.requestId().ifPresent(id -> core.streams().began(id, target, route));
        return new ServiceVersion(target.service(), target.version());
    }

    /**
     * Logs that a stream is not continued that the caller resumes. Has no effect for a new one.
     *
     * @param refusal The cause.
     */
    void recordRefusal(StreamRefusal refusal) {
        resumption.ifPresent(
                lookup ->
                        core.log().streams().refused(requestId(), firstAttempt(), refusal, lookup));
    }

    /**
     * Counts that the request ends without a target's response, if it resumes a stream.
     *
     * @param kind The error.
     */
    void recordFailure(ErrorKind kind) {
        if (resumption.isPresent()) {
            core.log().streams().resumptionFailed(kind);
        }
    }

    private String requestId() {
        return metadata.requestId().orElse("");
    }
}
