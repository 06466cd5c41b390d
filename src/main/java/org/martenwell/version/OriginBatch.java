package org.martenwell.version;

import java.util.List;

/**
 * Origins of streams that are stored as one object.
 *
 * @param name The object's name.
 * @param exists {@code true} if the object exists, with some of these origins.
 * @param origins The origins.
 */
public record OriginBatch(String name, boolean exists, List<StreamOrigin> origins) {

    /**
     * Creates a batch.
     *
     * @param name The object's name.
     * @param exists {@code true} if the object exists, with some of these origins.
     * @param origins The origins, which are copied.
     */
    public OriginBatch {
        origins = List.copyOf(origins);
    }
}
