package org.martenwell.gateway;

import java.util.Locale;
import org.martenwell.error.ErrorKind;

/** Why a stream that a caller resumes is not continued. */
enum StreamRefusal {

    /** Several versions were listed, and the caller names no attempt. */
    NO_ATTEMPT_NAMED(ErrorKind.STREAM_UNKNOWN, RetryDelay.NONE),

    /** Two versions are known of one attempt. */
    CONTRADICTORY(ErrorKind.STREAM_UNKNOWN, RetryDelay.NONE),

    /** Several versions were listed, and no peer in contact knows the attempt. */
    UNKNOWN_TO_PEERS(ErrorKind.STREAM_UNKNOWN, RetryDelay.ELSEWHERE),

    /** Several versions were listed, and peers that may know the attempt did not answer in time. */
    PEERS_SILENT(ErrorKind.STREAM_UNKNOWN, RetryDelay.CAPACITY),

    /** What was listed is not known for as long as the stream may last. */
    HISTORY_TOO_SHORT(ErrorKind.STREAM_UNKNOWN, RetryDelay.CAPACITY),

    /** No target of the version is listed here, where the list may be old. */
    VERSION_UNLISTED(ErrorKind.STREAM_UNKNOWN, RetryDelay.ELSEWHERE),

    /** No target of the version accepts requests any more. */
    VERSION_GONE(ErrorKind.VERSION_GONE, RetryDelay.NONE),

    /** The route no longer leads to the service at which the stream began. */
    ROUTE_CHANGED(ErrorKind.VERSION_GONE, RetryDelay.NONE);

    private final ErrorKind kind;

    private final RetryDelay retryDelay;

    StreamRefusal(ErrorKind kind, RetryDelay retryDelay) {
        this.kind = kind;
        this.retryDelay = retryDelay;
    }

    /** {@return the error that the caller gets} */
    ErrorKind kind() {
        return kind;
    }

    /** {@return the delay after which the caller may retry} */
    RetryDelay retryDelay() {
        return retryDelay;
    }

    /** {@return the name in logs and metrics} */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
