package org.martenwell.caller;

import io.activej.common.exception.InvalidSizeException;
import io.activej.http.HttpException;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.http.HeaderField;
import org.martenwell.http.HeaderFields;
import org.martenwell.router.ErrorBody;
import org.martenwell.router.RoutedResponse;

/** Builds the responses that callers get. */
final class CallerResponses {

    /** Not instantiated. */
    private CallerResponses() {}

    /**
     * Builds the response of a request that a target answers.
     *
     * @param answer The answer.
     * @param id The request's id.
     * @return The response.
     */
    static HttpResponse of(RoutedResponse answer, String id) {
        HttpResponse.Builder builder = HttpResponse.ofCode(answer.status());
        for (HeaderField field : answer.headers()) {
            builder.withHeader(HttpHeaders.of(field.name()), field.value());
        }
        return builder.withHeader(HttpHeaders.of(HeaderFields.REQUEST_ID), id)
                .withHeader(HttpHeaders.of(HeaderFields.OUTCOME), answer.outcome().word())
                .withBodyStream(answer.body())
                .build();
    }

    /**
     * Builds the response of a request that failed.
     *
     * @param failure Why.
     * @param id The request's id.
     * @return The response.
     */
    static HttpResponse of(MartenwellException failure, String id) {
        HttpResponse.Builder builder =
                HttpResponse.ofCode(failure.kind().status())
                        .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                        .withHeader(HttpHeaders.of(HeaderFields.REQUEST_ID), id)
                        .withHeader(HttpHeaders.of(HeaderFields.OUTCOME), failure.outcome().word());
        failure.retryAfterMillis()
                .ifPresent(
                        millis ->
                                builder.withHeader(
                                        HttpHeaders.of(HeaderFields.RETRY_AFTER),
                                        Long.toString(Math.max(1, (millis + 999) / 1000))));
        return builder.withBody(ErrorBody.of(failure, id)).build();
    }

    /**
     * States the kind of any failure.
     *
     * @param exception The failure.
     * @return The failure with its kind.
     */
    static MartenwellException failure(Exception exception) {
        if (exception instanceof MartenwellException known) {
            return known;
        }
        if (exception instanceof InvalidSizeException) {
            return MartenwellException.of(
                    ErrorKind.BODY_TOO_LARGE, "The body is too large.", exception);
        }
        if (exception instanceof HttpException) {
            return MartenwellException.of(
                    ErrorKind.MALFORMED_REQUEST, "The request is not well formed.", exception);
        }
        return MartenwellException.of(ErrorKind.INTERNAL, "The router failed.", exception);
    }
}
