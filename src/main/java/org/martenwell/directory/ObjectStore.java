package org.martenwell.directory;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.promise.Promise;
import java.util.Optional;

/**
 * Client of a versioned object store. A write whose call fails may or may not have been applied.
 */
public interface ObjectStore {

    /**
     * Lists one page of objects in order of their names.
     *
     * @param kind The kind of the objects.
     * @param after The last name of the previous page, or empty for the first page.
     * @param freshness The required consistency.
     * @return The page.
     */
    Promise<EntryPage> list(String kind, Optional<String> after, Freshness freshness);

    /**
     * Waits for changes.
     *
     * @param kind The kind of the objects.
     * @param revision The revision after which changes are returned.
     * @param waitMillis The maximum time for which the store waits for a change, in milliseconds.
     * @return The changes, possibly none.
     */
    Promise<EntryChanges> watch(String kind, long revision, long waitMillis);

    /**
     * Checks that the store answers, by a call that costs it far less than a list.
     *
     * @param kind The kind of objects that the caller depends on.
     * @return A promise that completes when the store has answered.
     */
    Promise<Void> ping(String kind);

    /**
     * Creates an object or replaces its value.
     *
     * @param kind The kind.
     * @param name The name.
     * @param value The value.
     * @return A promise that completes when the store has applied the write.
     */
    Promise<Void> put(String kind, String name, JsonNode value);

    /**
     * Replaces the value of an object that exists, with fewer calls than {@link #put}.
     *
     * @param kind The kind.
     * @param name The name.
     * @param value The value.
     * @return A promise that completes when the store has applied the write, and fails if the
     *     object doesn't exist.
     */
    Promise<Void> replace(String kind, String name, JsonNode value);

    /**
     * Creates an object, unless one with its name exists.
     *
     * @param kind The kind.
     * @param name The name.
     * @param value The value.
     * @return A promise that completes when the store has an object with that name.
     */
    Promise<Void> create(String kind, String name, JsonNode value);

    /**
     * Removes an object.
     *
     * @param kind The kind.
     * @param name The name.
     * @param revision The revision that the object must still have, or empty to remove any
     *     revision.
     * @return A promise that completes when the store has processed the removal.
     */
    Promise<Void> remove(String kind, String name, Optional<Long> revision);

    /** Closes all connections to the store. */
    void close();
}
