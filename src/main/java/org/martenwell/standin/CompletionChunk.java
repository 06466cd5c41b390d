package org.martenwell.standin;

import java.util.List;
import java.util.Optional;

/**
 * A piece of an OpenAI answer, or a whole one.
 *
 * @param id The answer's id.
 * @param object The kind of object.
 * @param created When it was created, in seconds.
 * @param model The model.
 * @param choices The one choice.
 * @param usage The tokens used, in whole answers.
 */
record CompletionChunk(
        String id,
        String object,
        long created,
        String model,
        List<CompletionChoice> choices,
        Optional<CompletionUsage> usage) {}
