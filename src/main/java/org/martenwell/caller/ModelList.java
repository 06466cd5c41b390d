package org.martenwell.caller;

import java.util.List;

/**
 * The response body of OpenAI's list of models.
 *
 * @param object Always {@code list}.
 * @param data The entries, in the order of the configuration.
 */
public record ModelList(String object, List<ModelEntry> data) {}
