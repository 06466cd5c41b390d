package org.martenwell.caller;

import java.util.List;

/**
 * OpenAI's list of models.
 *
 * @param object Always {@code list}.
 * @param data The models.
 */
public record ModelList(String object, List<ModelEntry> data) {}
