package org.martenwell.error;

import java.util.OptionalLong;

/** The unchecked exception that carries an error kind. */
public final class MartenwellException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** The kind of the error. */
    private final ErrorKind kind;

    /** The outcome stated for the request, which may be firmer than the kind's own. */
    private final Outcome outcome;

    /** The time until a repeat makes sense, in milliseconds, or a negative number if unknown. */
    private final long retryAfterMillis;

    /**
     * Creates an exception.
     *
     * @param kind The kind of the error.
     * @param message What went wrong, in one sentence.
     * @param cause The exception that led to this one or {@code null}.
     * @param outcome The outcome stated for the request.
     * @param retryAfterMillis The time until a repeat makes sense, or a negative number.
     */
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
     * Creates an exception with the outcome of its kind.
     *
     * @param kind The kind of the error.
     * @param message What went wrong, in one sentence.
     * @return The exception.
     */
    public static MartenwellException of(ErrorKind kind, String message) {
        return new MartenwellException(kind, message, null, kind.outcome(), -1);
    }

    /**
     * Creates an exception with the outcome of its kind and a cause.
     *
     * @param kind The kind of the error.
     * @param message What went wrong, in one sentence.
     * @param cause The exception that led to this one.
     * @return The exception.
     */
    public static MartenwellException of(ErrorKind kind, String message, Throwable cause) {
        return new MartenwellException(kind, message, cause, kind.outcome(), -1);
    }

    /**
     * Returns a copy that states another outcome.
     *
     * @param outcome The outcome to state.
     * @return The copy.
     */
    public MartenwellException withOutcome(Outcome outcome) {
        return new MartenwellException(kind, getMessage(), getCause(), outcome, retryAfterMillis);
    }

    /**
     * Returns a copy that tells when to come back.
     *
     * @param millis The time until a repeat makes sense, in milliseconds.
     * @return The copy.
     */
    public MartenwellException withRetryAfter(long millis) {
        return new MartenwellException(kind, getMessage(), getCause(), outcome, millis);
    }

    /**
     * Returns the kind of the error.
     *
     * @return The kind of the error.
     */
    public ErrorKind kind() {
        return kind;
    }

    /**
     * Returns the outcome stated for the request.
     *
     * @return The outcome stated for the request.
     */
    public Outcome outcome() {
        return outcome;
    }

    /**
     * Returns the time until a repeat makes sense.
     *
     * @return The time in milliseconds or empty if unknown.
     */
    public OptionalLong retryAfterMillis() {
        return retryAfterMillis < 0 ? OptionalLong.empty() : OptionalLong.of(retryAfterMillis);
    }
}
