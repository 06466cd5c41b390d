package org.martenwell.standin;

import java.util.List;
import java.util.Optional;

/**
 * A completion response of the OpenAI API, or an event of a streamed one.
 *
 * @param id The id of the completion.
 * @param object The object type as defined by the API.
 * @param created The creation time, in seconds since the epoch.
 * @param model The name of the model.
 * @param choices A single choice.
 * @param usage The token usage; empty in events of a stream.
 */
record CompletionChunk(
        String id,
        String object,
        long created,
        String model,
        List<CompletionChoice> choices,
        Optional<CompletionUsage> usage) {}
