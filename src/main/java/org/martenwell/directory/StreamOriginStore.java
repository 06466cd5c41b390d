package org.martenwell.directory;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.martenwell.version.OriginBatch;
import org.martenwell.version.ServiceVersion;
import org.martenwell.version.StreamOrigin;

/** Stores the versions at which streams began, many streams an object. */
final class StreamOriginStore {

    private static final String ORIGINS = "origins";

    private static final String SERVICE = "service";

    private static final String VERSION = "version";

    /** The field of the streams' keys of eight bytes each, in Base64. */
    private static final String ATTEMPTS = "attempts";

    private final ObjectStore store;

    private final String kind;

    /** The objects of the last list, by name. */
    private Map<String, Seen> seen = Map.of();

    /**
     * An object that was listed.
     *
     * @param revision The revision of its last change.
     * @param sinceMillis The time of the first list with this revision, in milliseconds.
     */
    private record Seen(long revision, long sinceMillis) {}

    /**
     * Creates an instance.
     *
     * @param store The store.
     * @param kind The kind of the objects.
     */
    StreamOriginStore(ObjectStore store, String kind) {
        this.store = store;
        this.kind = kind;
    }

    /**
     * Writes a batch.
     *
     * @param batch The batch.
     * @return A promise that completes when the store holds all of its origins.
     */
    Promise<Void> write(OriginBatch batch) {
        Map<ServiceVersion, List<StreamOrigin>> byVersion =
                batch.origins().stream().collect(Collectors.groupingBy(StreamOrigin::version));
        ObjectNode value = JsonNodeFactory.instance.objectNode();
        ArrayNode origins = value.putArray(ORIGINS);
        byVersion.forEach(
                (version, streams) ->
                        origins.addObject()
                                .put(SERVICE, version.service())
                                .put(VERSION, version.version())
                                .put(ATTEMPTS, encode(streams)));
        return batch.exists()
                ? store.replace(kind, batch.name(), value)
                : store.put(kind, batch.name(), value);
    }

    /** {@return the origins of all objects} */
    Promise<List<StreamOrigin>> read() {
        return KindListing.of(store, kind, Freshness.CURRENT)
                .map(
                        listing -> {
                            List<StreamOrigin> origins = new ArrayList<>();
                            for (StoredEntry each : listing.entries().values()) {
                                each.value().path(ORIGINS).forEach(group -> decode(group, origins));
                            }
                            return origins;
                        });
    }

    /**
     * Removes the objects that have not changed since an earlier call of this method.
     *
     * @param now The current time, in milliseconds.
     * @param ageMillis The time that must have passed since that call, in milliseconds.
     * @return A promise of the number of objects that are left.
     */
    Promise<Integer> removeUnchanged(long now, long ageMillis) {
        return KindListing.of(store, kind, Freshness.STALE)
                .then(
                        listing -> {
                            update(listing.entries(), now);
                            List<Promise<Void>> removals = new ArrayList<>();
                            seen.forEach(
                                    (name, object) -> {
                                        if (now - object.sinceMillis() >= ageMillis) {
                                            removals.add(
                                                    store.remove(
                                                            kind,
                                                            name,
                                                            Optional.of(object.revision())));
                                        }
                                    });
                            int left = seen.size() - removals.size();
                            return Promises.all(removals).map(ignored -> left);
                        });
    }

    private void update(Map<String, StoredEntry> listed, long now) {
        Map<String, Seen> updated = new HashMap<>();
        listed.forEach(
                (name, entry) -> {
                    Seen before = seen.get(name);
                    boolean unchanged = before != null && before.revision() == entry.revision();
                    updated.put(name, unchanged ? before : new Seen(entry.revision(), now));
                });
        seen = updated;
    }

    private static String encode(List<StreamOrigin> streams) {
        ByteBuffer keys = ByteBuffer.allocate(streams.size() * Long.BYTES);
        streams.forEach(each -> keys.putLong(each.attempt()));
        return Base64.getEncoder().encodeToString(keys.array());
    }

    /** Adds the origins of a group; one that is malformed has none. */
    private static void decode(JsonNode group, List<StreamOrigin> origins) {
        ServiceVersion version =
                new ServiceVersion(group.path(SERVICE).asText(""), group.path(VERSION).asText(""));
        ByteBuffer keys;
        try {
            keys = ByteBuffer.wrap(Base64.getDecoder().decode(group.path(ATTEMPTS).asText("")));
        } catch (IllegalArgumentException exception) {
            return;
        }
        while (keys.remaining() >= Long.BYTES) {
            origins.add(new StreamOrigin(keys.getLong(), version));
        }
    }
}
