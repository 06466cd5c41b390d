package org.martenwell.directory;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.promise.Promise;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.martenwell.hash.RendezvousHash;
import org.martenwell.version.ServiceVersion;

/** Stores records of the versions of targets, one object each. */
final class VersionRecordStore {

    private static final String SERVICE = "service";

    private static final String VERSION = "version";

    private final ObjectStore store;

    private final String kind;

    /**
     * Creates an instance.
     *
     * @param store The store.
     * @param kind The kind of the objects.
     */
    VersionRecordStore(ObjectStore store, String kind) {
        this.store = store;
        this.kind = kind;
    }

    /**
     * Writes a record, unless it exists.
     *
     * @param version The version.
     * @return A promise that completes when the record exists.
     */
    Promise<Void> write(ServiceVersion version) {
        ObjectNode value = JsonNodeFactory.instance.objectNode();
        value.put(SERVICE, version.service());
        value.put(VERSION, version.version());
        return store.create(kind, name(version), value);
    }

    /**
     * Removes a record.
     *
     * @param version The version.
     * @return A promise that completes when no record exists.
     */
    Promise<Void> remove(ServiceVersion version) {
        return store.remove(kind, name(version), Optional.empty());
    }

    /** {@return the versions of all records} */
    Promise<Set<ServiceVersion>> read() {
        return KindListing.of(store, kind, Freshness.CURRENT)
                .map(
                        listing -> {
                            Set<ServiceVersion> versions = new HashSet<>();
                            for (StoredEntry each : listing.entries().values()) {
                                JsonNode value = each.value();
                                versions.add(
                                        new ServiceVersion(
                                                value.path(SERVICE).asText(""),
                                                value.path(VERSION).asText("")));
                            }
                            return versions;
                        });
    }

    private static String name(ServiceVersion version) {
        return "%016x%016x"
                .formatted(
                        RendezvousHash.hash(version.service()),
                        RendezvousHash.hash(version.version()));
    }
}
