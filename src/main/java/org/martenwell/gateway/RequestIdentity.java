package org.martenwell.gateway;

import org.martenwell.exchange.CallerRequest;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.FingerprintFunction;
import org.martenwell.quarantine.RequestSummary;
import org.martenwell.route.Route;

/**
 * What makes a request the same one when it comes again. Bodies are hashed when that is first asked
 * for, so that a request of which nothing bad is known costs nothing.
 */
final class RequestIdentity {

    /** Computes fingerprints. */
    private final FingerprintFunction function;

    /** The request. */
    private final CallerRequest request;

    /** The request's route. */
    private final Route route;

    /** The caller's organisation, empty where callers have no keys. */
    private final String organisation;

    /** The scope or {@code null} until it is asked for. */
    private Long scope;

    /** The fingerprint or {@code null} until it is asked for. */
    private Fingerprint fingerprint;

    /**
     * Creates an identity.
     *
     * @param function Computes fingerprints.
     * @param request The request.
     * @param route The request's route.
     * @param organisation The caller's organisation, empty where callers have no keys.
     */
    RequestIdentity(
            FingerprintFunction function, CallerRequest request, Route route, String organisation) {
        this.function = function;
        this.request = request;
        this.route = route;
        this.organisation = organisation;
    }

    /**
     * Returns the part of the fingerprint that the body does not change.
     *
     * @return The hash.
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
     * Returns the fingerprint.
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
     * Returns what is kept of the request while its target may have ended.
     *
     * @return The request without its body.
     */
    SuspectRequest suspect() {
        RequestSummary summary =
                new RequestSummary(
                        request.method().name(), route.host(), request.path(), organisation);
        return new SuspectRequest(fingerprint(), summary);
    }
}
