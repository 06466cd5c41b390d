package org.martenwell.peer;

import java.io.IOException;

/**
 * Decodes one item of a list.
 *
 * @param <T> The type of the item.
 */
@FunctionalInterface
interface ItemReader<T> {

    /**
     * Decodes one item.
     *
     * @param reader Provides the item's fields.
     * @return The item.
     * @throws IOException If the payload ends early.
     */
    T read(FieldReader reader) throws IOException;
}
