package org.martenwell.objects;

import io.activej.promise.Promise;
import java.util.List;
import java.util.Optional;

/**
 * The platform's object service and box list. A call without a response fails with {@link
 * org.martenwell.error.ErrorKind#PLATFORM_UNAVAILABLE}. A failed write may still have taken effect;
 * only a read shows whether it has.
 */
public interface Platform {

    /**
     * Reads an object.
     *
     * @param kind The object's kind.
     * @param name The object's name.
     * @return The latest version, or empty if the object does not exist.
     */
    Promise<Optional<StoredObject>> read(String kind, String name);

    /**
     * Creates an object. Fails with {@link org.martenwell.error.ErrorKind#VERSION_CONFLICT} if it
     * already exists.
     *
     * @param kind The object's kind.
     * @param name The object's name.
     * @param value The value, at most a megabyte.
     * @return The object with its first version.
     */
    Promise<StoredObject> create(String kind, String name, byte[] value);

    /**
     * Updates an object. Fails with {@link org.martenwell.error.ErrorKind#VERSION_CONFLICT} if its
     * version is no longer {@code version}.
     *
     * @param kind The object's kind.
     * @param name The object's name.
     * @param value The value, at most a megabyte.
     * @param version The version that the update is based on.
     * @return The object with its new version.
     */
    Promise<StoredObject> update(String kind, String name, byte[] value, long version);

    /**
     * Waits for changes to the objects of a kind.
     *
     * @param kind The kind.
     * @param after The version after which changes are returned.
     * @param waitMillis The maximum time to wait for a change, in milliseconds.
     * @return The changed objects; empty if none changed within {@code waitMillis}.
     */
    Promise<List<StoredObject>> watch(String kind, long after, long waitMillis);

    /**
     * Lists the boxes. The list may be outdated.
     *
     * @return The boxes.
     */
    Promise<List<Box>> boxes();

    /** {@return the number of calls made since the start, including failed ones} */
    long callCount();
}
