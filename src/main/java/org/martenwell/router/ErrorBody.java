package org.martenwell.router;

import java.util.Optional;
import org.martenwell.error.MartenwellException;
import org.martenwell.json.Json;

/**
 * Body of an error response in the format of the OpenAI API, extended by the fields {@code
 * outcome}, {@code retry} and {@code request_id}.
 *
 * @param error The error.
 */
public record ErrorBody(ErrorDetail error) {

    /**
     * Serializes the body of an error response.
     *
     * @param failure The error.
     * @param requestId The request's id.
     * @return The body as JSON in UTF-8.
     */
    public static byte[] of(MartenwellException failure, String requestId) {
        return Json.write(
                new ErrorBody(
                        new ErrorDetail(
                                failure.getMessage(),
                                failure.kind().status() < 500
                                        ? "invalid_request_error"
                                        : "server_error",
                                Optional.empty(),
                                failure.kind().code(),
                                failure.outcome().word(),
                                failure.kind().retryability().word(),
                                requestId)));
    }
}
