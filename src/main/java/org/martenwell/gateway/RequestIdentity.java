package org.martenwell.gateway;

import java.util.List;
import java.util.Optional;
import org.martenwell.exchange.CallerRequest;
import org.martenwell.prompt.PromptPart;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.FingerprintFunction;
import org.martenwell.quarantine.RequestSummary;
import org.martenwell.route.Route;

/**
 * Fingerprint of a request, by which a repeated request is recognised. It is computed on first use,
 * so that bodies are hashed only for requests that may be quarantined.
 */
final class RequestIdentity {

    private final FingerprintFunction function;

    private final CallerRequest request;

    private final Route route;

    /** The caller's organisation, empty where callers have no keys. */
    private final String organisation;

    /** The properties of a model request, empty for others. */
    private final Optional<GenerationMetadata> generation;

    /** The scope or {@code null} until it is computed. */
    private Long scope;

    /** The fingerprint or {@code null} until it is computed. */
    private Fingerprint fingerprint;

    /**
     * Creates an identity.
     *
     * @param function The function that computes fingerprints.
     * @param request The request.
     * @param route The request's route.
     * @param organisation The caller's organisation, empty where callers have no keys.
     * @param generation The properties of a model request, empty for others.
     */
    RequestIdentity(
            FingerprintFunction function,
            CallerRequest request,
            Route route,
            String organisation,
            Optional<GenerationMetadata> generation) {
        this.function = function;
        this.request = request;
        this.route = route;
        this.organisation = organisation;
        this.generation = generation;
    }

    /**
     * Returns the part of the fingerprint that does not depend on the body.
     *
     * @return The hash of method, host, request target and organisation.
     */
    long scope() {
        if (scope == null) {
            scope =
                    function.scope(
                            request.method().name(), route.host(), request.target(), organisation);
        }
        return scope;
    }

    /**
     * Returns the fingerprint. The first call hashes the body.
     *
     * @return The fingerprint.
     */
    Fingerprint fingerprint() {
        if (fingerprint == null) {
            fingerprint = function.of(scope(), request.body().bytes());
        }
        return fingerprint;
    }

    /**
     * Returns the description of the request that is retained while its target may have crashed.
     *
     * @return The fingerprint and a summary, without the body.
     */
    SuspectRequest suspect() {
        RequestSummary summary =
                new RequestSummary(
                        request.method().name(), route.host(), request.path(), organisation);
        return new SuspectRequest(fingerprint(), summary, sharedParts());
    }

    /**
     * Returns the ids of the prompt parts that other requests may share, which all but the last
     * are.
     */
    private List<String> sharedParts() {
        List<PromptPart> parts = generation.map(GenerationMetadata::parts).orElse(List.of());
        return parts.subList(0, Math.max(0, parts.size() - 1)).stream()
                .map(PromptPart::id)
                .toList();
    }
}
