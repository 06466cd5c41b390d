package org.martenwell.router;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;

/**
 * Error object within an {@link ErrorBody}.
 *
 * @param message A sentence that describes the error.
 * @param type The error type of the OpenAI API.
 * @param param Always empty; part of the format of the OpenAI API.
 * @param code The code of the error kind.
 * @param outcome The word of the request's {@link org.martenwell.error.Outcome}.
 * @param retry The word that tells the caller whether it may send the request again.
 * @param requestId The request's id.
 */
public record ErrorDetail(
        String message,
        String type,
        Optional<String> param,
        String code,
        String outcome,
        String retry,
        @JsonProperty("request_id") String requestId) {}
