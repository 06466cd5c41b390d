package org.martenwell.objects;

import io.activej.promise.Promise;
import java.util.List;
import java.util.Optional;

/**
 * The platform's object service and box list. A call that gets no answer fails with {@link
 * org.martenwell.error.ErrorKind#PLATFORM_UNAVAILABLE}; a write may have taken effect all the same,
 * which only a read can tell.
 */
public interface Platform {

    /**
     * Reads an object.
     *
     * @param kind The object's kind.
     * @param name The object's name.
     * @return Its latest version or empty if there is none.
     */
    Promise<Optional<StoredObject>> read(String kind, String name);

    /**
     * Creates an object, or fails with {@link org.martenwell.error.ErrorKind#VERSION_CONFLICT} if
     * there is one of that name.
     *
     * @param kind The object's kind.
     * @param name The object's name.
     * @param value The value, at most a megabyte.
     * @return Its first version.
     */
    Promise<StoredObject> create(String kind, String name, byte[] value);

    /**
     * Updates an object, or fails with {@link org.martenwell.error.ErrorKind#VERSION_CONFLICT} if
     * it changed since.
     *
     * @param kind The object's kind.
     * @param name The object's name.
     * @param value The value, at most a megabyte.
     * @param version The version that the update is based on.
     * @return The new version.
     */
    Promise<StoredObject> update(String kind, String name, byte[] value, long version);

    /**
     * Waits for changes to the objects of a kind.
     *
     * @param kind The kind.
     * @param after The version after which changes are wanted.
     * @param waitMillis How long to wait for the first change, in milliseconds.
     * @return The objects that changed, none if the time passed.
     */
    Promise<List<StoredObject>> watch(String kind, long after, long waitMillis);

    /**
     * Lists the boxes.
     *
     * @return The boxes, as the platform knew them some time ago.
     */
    Promise<List<Box>> boxes();

    /**
     * Returns how many calls were made.
     *
     * @return The number since the start.
     */
    long calls();
}
