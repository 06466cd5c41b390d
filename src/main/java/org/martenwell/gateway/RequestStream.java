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

    /** The caller's organisation, empty where callers have no keys. */
    private String organisation = "";

    /** Set if the request takes precedence over new ones. */
    private boolean precedence;

    /** Set once peers may know that the stream continues here. */
    private boolean recorded;

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
     * Sets the caller's organisation.
     *
     * @param name The name of the organisation, empty where callers have no keys.
     */
    void callerIdentified(String name) {
        organisation = name;
    }

    /**
     * Takes precedence over new requests, if this one resumes a stream that the fleet is known to
     * have admitted. That the directory lists one version alone doesn't show this.
     *
     * @param route The request's route.
     * @return {@code true} if the request has precedence.
     */
    boolean takePrecedence(Route route) {
        if (!precedence && resumes(route)) {
            precedence =
                    metadata.resumedAttempt()
                            .map(each -> core.streams().takePrecedence(each, organisation))
                            .orElse(false);
            if (precedence) {
                core.log().streams().precedenceTaken();
            }
        }
        return precedence;
    }

    /** {@return {@code true} if the request takes precedence over new ones} */
    boolean hasPrecedence() {
        return precedence;
    }

    /** Gives the precedence of a request back that was not sent to a target. */
    void givePrecedenceBack() {
        if (precedence) {
            precedence = false;
            metadata.resumedAttempt().ifPresent(core.streams()::givePrecedenceBack);
        }
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
        if (lookup.stream().get().source() != OriginSource.ONLY_VERSION) {
            recordContinued(version, route);
        }
        begun = true;
        return Optional.of(version);
    }

    /**
     * Records that the request was sent to a target. A stream that nobody knew counts as admitted
     * from then on.
     *
     * @param route The request's route.
     */
    void sent(Route route) {
        if (!recorded) {
            resumption
                    .flatMap(StreamLookup::stream)
                    .ifPresent(each -> recordContinued(each.version(), route));
        }
    }

    private void recordContinued(ServiceVersion version, Route route) {
        recorded = true;
        firstAttempt().ifPresent(attempt -> core.streams().continued(attempt, version, route));
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
        metadata.requestId()
                .ifPresent(
                        id -> {
                            core.streams().began(id, target, route);
                            core.streams().admitted(id, organisation);
                        });
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
