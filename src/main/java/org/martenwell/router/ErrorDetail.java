package org.martenwell.router;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;

/**
 * What went wrong with a request.
 *
 * @param message What went wrong, in a sentence.
 * @param type The class of error as OpenAI clients know it.
 * @param param Unused.
 * @param code The error kind's code.
 * @param outcome What is known of the request.
 * @param retry Whether the request may be sent again.
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
