package org.martenwell.router;

import java.util.Optional;
import org.martenwell.error.MartenwellException;
import org.martenwell.json.Json;

/**
 * The body of an error answer, in the shape of OpenAI's errors with three fields more.
 *
 * @param error The error.
 */
public record ErrorBody(ErrorDetail error) {

    /**
     * Writes the body of an error.
     *
     * @param failure The error.
     * @param requestId The request's id.
     * @return The body in UTF-8.
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
