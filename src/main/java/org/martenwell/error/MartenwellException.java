package org.martenwell.error;

import java.util.OptionalLong;

/** An unchecked exception with an {@link ErrorKind}, an outcome and an optional retry delay. */
public final class MartenwellException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;

    /** The outcome of the request, which may be more specific than the kind's default. */
    private final Outcome outcome;

    /** The delay after which a retry may succeed, in milliseconds; negative if unknown. */
    private final long retryAfterMillis;

    private MartenwellException(
            ErrorKind kind,
            String message,
            Throwable cause,
            Outcome outcome,
            long retryAfterMillis) {
        super(message, cause);
        this.kind = kind;
        this.outcome = outcome;
        this.retryAfterMillis = retryAfterMillis;
    }

    /**
     * Creates an exception with the kind's default outcome.
     *
     * @param kind The kind of the error.
     * @param message The error message, one sentence.
     * @return The exception.
     */
    public static MartenwellException of(ErrorKind kind, String message) {
        return new MartenwellException(kind, message, null, kind.outcome(), -1);
    }

    /**
     * Creates an exception with a cause and the kind's default outcome.
     *
     * @param kind The kind of the error.
     * @param message The error message, one sentence.
     * @param cause The underlying exception.
     * @return The exception.
     */
    public static MartenwellException of(ErrorKind kind, String message, Throwable cause) {
        return new MartenwellException(kind, message, cause, kind.outcome(), -1);
    }

    /**
     * Returns a copy with another outcome.
     *
     * @param outcome The outcome of the request.
     * @return The copy.
     */
    public MartenwellException withOutcome(Outcome outcome) {
        return new MartenwellException(kind, getMessage(), getCause(), outcome, retryAfterMillis);
    }

    /**
     * Returns a copy with a retry delay.
     *
     * @param millis The delay after which a retry may succeed, in milliseconds.
     * @return The copy.
     */
    public MartenwellException withRetryAfter(long millis) {
        return new MartenwellException(kind, getMessage(), getCause(), outcome, millis);
    }

    /** {@return the kind of the error} */
    public ErrorKind kind() {
        return kind;
    }

    /** {@return the outcome of the request} */
    public Outcome outcome() {
        return outcome;
    }

    /** {@return the delay after which a retry may succeed, in milliseconds; empty if unknown} */
    public OptionalLong retryAfterMillis() {
        return retryAfterMillis < 0 ? OptionalLong.empty() : OptionalLong.of(retryAfterMillis);
    }
}
