package org.martenwell.caller;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A model in OpenAI's list of models.
 *
 * @param id The model's name.
 * @param object Always {@code model}.
 * @param created Always 0; configurations don't record when a model was created.
 * @param ownedBy Always {@code fleet}.
 */
public record ModelEntry(
        String id, String object, long created, @JsonProperty("owned_by") String ownedBy) {

    /**
     * Creates the entry of a model.
     *
     * @param name The model's name.
     * @return The entry, with the fixed values of the other fields.
     */
    static ModelEntry of(String name) {
        return new ModelEntry(name, "model", 0, "fleet");
    }
}
