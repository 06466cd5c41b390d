package org.martenwell.peer;

import java.io.IOException;

/**
 * Reads one item of a list.
 *
 * @param <T> The type of the item.
 */
@FunctionalInterface
interface ItemReader<T> {

    /**
     * Reads one item.
     *
     * @param reader Gives its fields.
     * @return The item.
     * @throws IOException If the payload ends early.
     */
    T read(FieldReader reader) throws IOException;
}
