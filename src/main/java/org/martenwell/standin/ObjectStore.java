package org.martenwell.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.objects.StoredObject;

/** An in-memory object store with versions, as the platform stand-in serves it. */
final class ObjectStore {

    private static final int MAX_BYTES = 1 << 20;

    /** The objects by {@code kind/name}. */
    private final Map<String, StoredObject> objects = new TreeMap<>();

    private long version;

    /** Creates an empty store. */
    ObjectStore() {}

    /**
     * Reads an object.
     *
     * @param kind The kind.
     * @param name The name.
     * @return The object, empty if it does not exist.
     */
    Optional<StoredObject> read(String kind, String name) {
        return Optional.ofNullable(objects.get(kind + "/" + name));
    }

    /**
     * Writes an object. Throws {@link ErrorKind#VERSION_CONFLICT} if its version is not the
     * expected one.
     *
     * @param kind The kind.
     * @param name The name.
     * @param value The value.
     * @param expected The expected version, or 0 if the object must not exist.
     * @return The object with its new version.
     */
    StoredObject write(String kind, String name, byte[] value, long expected) {
        long current = read(kind, name).map(StoredObject::version).orElse(0L);
        if (current != expected) {
            throw MartenwellException.of(
                    ErrorKind.VERSION_CONFLICT, "The current version is " + current);
        }
        if (value.length > MAX_BYTES) {
            throw MartenwellException.of(
                    ErrorKind.BODY_TOO_LARGE, "The value exceeds the size limit.");
        }
        version++;
        StoredObject object = new StoredObject(kind, name, version, value);
        objects.put(kind + "/" + name, object);
        return object;
    }

    /**
     * Lists the objects of a kind that were written after a version.
     *
     * @param kind The kind.
     * @param after The version, exclusive.
     * @return The objects.
     */
    List<StoredObject> changed(String kind, long after) {
        List<StoredObject> changed = new ArrayList<>();
        for (StoredObject object : objects.values()) {
            if (object.kind().equals(kind) && object.version() > after) {
                changed.add(object);
            }
        }
        return changed;
    }
}
