package org.martenwell.gateway;

import java.util.List;
import java.util.Optional;
import org.martenwell.exchange.CallerRequest;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.FingerprintFunction;
import org.martenwell.quarantine.RequestSummary;
import org.martenwell.route.Route;

/**
 * Fingerprints of a request and of the shared parts of its prompt, by which they are recognised.
 * They are computed on first use, so that bodies are hashed only for requests that may be
 * quarantined.
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

    /** The shared parts of the prompt or {@code null} until their fingerprints are computed. */
    private List<SharedPart> sharedParts;

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
                RequestSummary.of(
                        request.method().name(), route.host(), request.path(), organisation);
        return new SuspectRequest(fingerprint(), summary, sharedParts());
    }

    /**
     * Returns the parts of the prompt that other requests may share, which all but the last are.
     *
     * @return The parts in their order, empty if the caller stated no prompt.
     */
    List<SharedPart> sharedParts() {
        if (sharedParts == null) {
            sharedParts = generation.map(this::sharedParts).orElse(List.of());
        }
        return sharedParts;
    }

    private List<SharedPart> sharedParts(GenerationMetadata prompt) {
        int count = prompt.parts().size() - 1;
        if (count < 1) {
            return List.of();
        }
        long partScope = function.partScope(prompt.model());
        return prompt.parts().subList(0, count).stream()
                .map(each -> new SharedPart(each.id(), function.ofPart(partScope, each.id())))
                .toList();
    }

    /**
     * Returns the fingerprints of the shared parts of the prompt.
     *
     * @return The fingerprints, empty if the caller stated no prompt.
     */
    List<Fingerprint> partFingerprints() {
        return sharedParts().stream().map(SharedPart::fingerprint).toList();
    }

    /**
     * Returns whether the request, or a shared part of its prompt, has a fingerprint.
     *
     * @param other The fingerprint.
     * @return {@code true} if it has.
     */
    boolean matches(Fingerprint other) {
        // Compares the scope first, since the fingerprint may need a hash of the body.
        return scope() == other.scope()
                ? fingerprint().equals(other)
                : sharedParts().stream().anyMatch(each -> each.fingerprint().equals(other));
    }
}
