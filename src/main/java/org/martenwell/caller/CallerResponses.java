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

/** Builds HTTP responses to callers. */
final class CallerResponses {

    private CallerResponses() {}

    /**
     * Builds a response that forwards a target's response.
     *
     * @param response The target's response.
     * @param id The request's id.
     * @return The response, which streams the target's body.
     */
    static HttpResponse of(RoutedResponse response, String id) {
        HttpResponse.Builder builder = HttpResponse.ofCode(response.status());
        for (HeaderField field : response.headers()) {
            builder.withHeader(HttpHeaders.of(field.name()), field.value());
        }
        return builder.withHeader(HttpHeaders.of(HeaderFields.REQUEST_ID), id)
                .withHeader(HttpHeaders.of(HeaderFields.OUTCOME), response.outcome().word())
                .withBodyStream(response.body())
                .build();
    }

    /**
     * Builds the response to a failed request. The header {@code Retry-After} is rounded up to
     * whole seconds.
     *
     * @param failure The failure.
     * @param id The request's id.
     * @return The response, with the failure's status and a body in JSON.
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
     * Converts an exception of the HTTP library, or an unexpected one, to one with an error kind.
     *
     * @param exception The exception.
     * @return The same exception if it has a kind already.
     */
    static MartenwellException withKind(Exception exception) {
        if (exception instanceof MartenwellException known) {
            return known;
        }
        if (exception instanceof InvalidSizeException) {
            return MartenwellException.of(
                    ErrorKind.BODY_TOO_LARGE, "The body is too large.", exception);
        }
        if (exception instanceof HttpException) {
            return MartenwellException.of(
                    ErrorKind.MALFORMED_REQUEST, "The request is not valid HTTP.", exception);
        }
        return MartenwellException.of(
                ErrorKind.INTERNAL, "Internal error in the router.", exception);
    }
}
