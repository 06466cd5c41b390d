package org.martenwell.caller;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * One model in OpenAI's list.
 *
 * @param id The model's name.
 * @param object Always {@code model}.
 * @param created Always 0, because models carry no time.
 * @param ownedBy Always {@code fleet}.
 */
public record ModelEntry(
        String id, String object, long created, @JsonProperty("owned_by") String ownedBy) {

    /**
     * Creates the entry of a model.
     *
     * @param name The model's name.
     * @return The entry.
     */
    static ModelEntry of(String name) {
        return new ModelEntry(name, "model", 0, "fleet");
    }
}
