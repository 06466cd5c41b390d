package org.martenwell.error;

import java.util.Locale;

/**
 * The kinds of errors that the program reports. Each kind defines the HTTP status and the outcome
 * of its error response, whether the caller may retry, and the exit code of a command that fails
 * with it.
 */
public enum ErrorKind {

    /** The request is not valid HTTP or not the expected JSON. */
    MALFORMED_REQUEST(400, Outcome.NOT_RUN, Retryability.NEVER, 65),

    /** The request's headers exceed the limit. */
    HEADERS_TOO_LARGE(431, Outcome.NOT_RUN, Retryability.NEVER, 65),

    /** The request's body exceeds the limit. */
    BODY_TOO_LARGE(413, Outcome.NOT_RUN, Retryability.NEVER, 65),

    /** The API key is missing or belongs to no organisation. */
    UNAUTHENTICATED(401, Outcome.NOT_RUN, Retryability.NEVER, 77),

    /** The configuration of the caller's organisation is invalid. */
    INVALID_ORGANISATION(503, Outcome.NOT_RUN, Retryability.LATER, 78),

    /** The policy of the organisation's contract refused the request. */
    POLICY_REFUSED(403, Outcome.NOT_RUN, Retryability.NEVER, 77),

    /** The evaluation of the policy of the organisation's contract failed. */
    POLICY_FAILED(500, Outcome.NOT_RUN, Retryability.LATER, 70),

    /** The named model is not configured. */
    UNKNOWN_MODEL(404, Outcome.NOT_RUN, Retryability.NEVER, 65),

    /** The named plain service is not configured. */
    UNKNOWN_SERVICE(404, Outcome.NOT_RUN, Retryability.NEVER, 65),

    /** No resource exists at the request's path. */
    UNKNOWN_PATH(404, Outcome.NOT_RUN, Retryability.NEVER, 65),

    /** The resource does not support the request's method. */
    METHOD_NOT_ALLOWED(405, Outcome.NOT_RUN, Retryability.NEVER, 65),

    /** The organisation has reached its limit of queued requests. */
    QUEUE_FULL(429, Outcome.NOT_RUN, Retryability.LATER, 75),

    /** The organisation exceeds the request rate of its contract. */
    RATE_EXCEEDED(429, Outcome.NOT_RUN, Retryability.LATER, 75),

    /** The request waited, or would have to wait, too long for a target. */
    WAIT_TOO_LONG(503, Outcome.NOT_RUN, Retryability.LATER, 75),

    /** The router or gateway is overloaded, for example by queued requests or a full heap. */
    ROUTER_FULL(503, Outcome.NOT_RUN, Retryability.LATER, 75),

    /** The router or gateway has no configuration yet or has been disconnected for too long. */
    NOT_READY(503, Outcome.NOT_RUN, Retryability.LATER, 75),

    /** The router or gateway is shutting down and accepts no new requests. */
    DRAINING(503, Outcome.NOT_RUN, Retryability.LATER, 75),

    /** No available target serves the model or plain service. */
    NO_TARGET(503, Outcome.NOT_RUN, Retryability.LATER, 75),

    /** The request resumes a stream of which the gateway can't find out what version began it. */
    STREAM_UNKNOWN(503, Outcome.NOT_RUN, Retryability.LATER, 75),

    /** The request resumes a stream that began at a version of which no target is left. */
    VERSION_GONE(503, Outcome.NOT_RUN, Retryability.NEVER, 69),

    /** Every target tried refused the request before starting it. */
    TARGET_REFUSED(503, Outcome.NOT_RUN, Retryability.LATER, 75),

    /** The target failed after part of the request had been sent to it. */
    TARGET_FAILED(502, Outcome.UNKNOWN, Retryability.IF_REPEATABLE, 69),

    /** The target did not respond in time. */
    TARGET_TIMEOUT(504, Outcome.UNKNOWN, Retryability.IF_REPEATABLE, 69),

    /** The response was interrupted after it had started and could not be resumed. */
    STREAM_BROKEN(502, Outcome.UNKNOWN, Retryability.IF_REPEATABLE, 69),

    /** Targets crashed while they had the request, possibly by coincidence. */
    MAY_END_TARGETS(503, Outcome.NOT_RUN, Retryability.LATER, 75),

    /** Targets crashed while they ran the request, so it is not sent to any other target. */
    ENDS_TARGETS(502, Outcome.UNKNOWN, Retryability.NEVER, 65),

    /** The caller disconnected before the response was complete. */
    CALLER_LEFT(499, Outcome.UNKNOWN, Retryability.IF_REPEATABLE, 69),

    /** The platform's object service did not respond. */
    PLATFORM_UNAVAILABLE(503, Outcome.UNKNOWN, Retryability.LATER, 69),

    /** The object was modified after the version that the update is based on. */
    VERSION_CONFLICT(409, Outcome.NOT_RUN, Retryability.NEVER, 73),

    /** The idempotency key has expired, so it is unknown whether a request with this key ran. */
    KEY_EXPIRED(400, Outcome.UNKNOWN, Retryability.NEVER, 65),

    /**
     * The platform could not record the claim that a non-repeatable request needs before it runs.
     */
    CLAIM_UNAVAILABLE(503, Outcome.NOT_RUN, Retryability.LATER, 69),

    /** An earlier request with the same idempotency key is still running or was interrupted. */
    CLAIM_IN_FLIGHT(409, Outcome.UNKNOWN, Retryability.LATER, 75),

    /** An earlier request with the same idempotency key ran. */
    ALREADY_RAN(409, Outcome.RAN, Retryability.NEVER, 73),

    /** A settings or configuration file is invalid. */
    INVALID_DOCUMENT(422, Outcome.NOT_RUN, Retryability.NEVER, 78),

    /** A message from a peer was malformed or failed authentication. */
    BAD_FRAME(400, Outcome.NOT_RUN, Retryability.NEVER, 65),

    /** The command line is invalid. */
    USAGE(400, Outcome.NOT_RUN, Retryability.NEVER, 64),

    /** A file could not be read or an address could not be bound. */
    INPUT_OUTPUT(500, Outcome.NOT_RUN, Retryability.NEVER, 74),

    /** An internal error of this program. */
    INTERNAL(500, Outcome.UNKNOWN, Retryability.IF_REPEATABLE, 70);

    private final int status;

    private final Outcome outcome;

    private final Retryability retryability;

    private final int exitCode;

    /**
     * Creates an error kind.
     *
     * @param status The HTTP status of the error response.
     * @param outcome The outcome that the error response states for the request.
     * @param retryability The conditions under which the caller may retry the request.
     * @param exitCode The exit code of a command that fails with this kind.
     */
    ErrorKind(int status, Outcome outcome, Retryability retryability, int exitCode) {
        this.status = status;
        this.outcome = outcome;
        this.retryability = retryability;
        this.exitCode = exitCode;
    }

    /** {@return the code used in error responses and logs: the constant's name in lower case} */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** {@return the HTTP status of the error response} */
    public int status() {
        return status;
    }

    /** {@return the default outcome that the error response states for the request} */
    public Outcome outcome() {
        return outcome;
    }

    /** {@return the conditions under which the caller may retry the request} */
    public Retryability retryability() {
        return retryability;
    }

    /**
     * {@return the exit code of a command that fails with this kind, following {@code sysexits.h}}
     */
    public int exitCode() {
        return exitCode;
    }
}
