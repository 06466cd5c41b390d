package org.martenwell.directory;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.version.OriginBatch;
import org.martenwell.version.ServiceVersion;
import org.martenwell.version.StreamOrigin;

/** Guards against origins that are read as another version's, or that stay forever. */
final class StreamOriginStoreTest {

    private static final long AGE_MILLIS = 40_000;

    private static final StreamOrigin OLD =
            new StreamOrigin(Long.MIN_VALUE, new ServiceVersion("service", "v1"));

    private static final StreamOrigin NEW =
            new StreamOrigin(-1, new ServiceVersion("service", "v2"));

    private static final StreamOrigin UNKNOWN = new StreamOrigin(7, ServiceVersion.UNKNOWN);

    private final InMemoryStore objects = new InMemoryStore();

    private final StreamOriginStore store = new StreamOriginStore(objects, "origins");

    @BeforeEach
    void createEventLoop() {
        Eventloop.builder().withCurrentThread().build();
    }

    @Test
    void testOriginsAreReadAsTheyWereWritten() {
        store.write(new OriginBatch("first", false, List.of(OLD, NEW, UNKNOWN)));
        store.write(new OriginBatch("second", false, List.of(OLD)));
        store.write(new OriginBatch("second", true, List.of(OLD, NEW)));
        assertThat(store.read().getResult()).containsExactlyInAnyOrder(OLD, NEW, UNKNOWN, OLD, NEW);
    }

    @Test
    void testMalformedObjectsHaveNoOrigins() {
        store.write(new OriginBatch("first", false, List.of(OLD)));
        objects.put(
                "origins",
                "other",
                JsonNodeFactory.instance
                        .objectNode()
                        .set(
                                "origins",
                                JsonNodeFactory.instance
                                        .arrayNode()
                                        .add("text")
                                        .addObject()
                                        .put("attempts", "!")));
        assertThat(store.read().getResult()).containsExactly(OLD);
    }

    @Test
    void testOnlyUnchangedObjectsAreRemoved() {
        store.write(new OriginBatch("first", false, List.of(OLD)));
        store.write(new OriginBatch("second", false, List.of(OLD)));
        assertThat(store.removeUnchanged(0, AGE_MILLIS).getResult()).isEqualTo(2);
        store.write(new OriginBatch("second", true, List.of(OLD, NEW)));
        assertThat(store.removeUnchanged(AGE_MILLIS, AGE_MILLIS).getResult()).isEqualTo(1);
        assertThat(objects.values.keySet()).containsExactly("second");
        assertThat(store.removeUnchanged(2 * AGE_MILLIS, AGE_MILLIS).getResult()).isZero();
        assertThat(objects.values).isEmpty();
    }

    /** An in-memory store of one kind of objects. */
    private static final class InMemoryStore implements ObjectStore {

        private final Map<String, StoredEntry> values = new TreeMap<>();

        private long revision;

        @Override
        public Promise<EntryPage> list(String kind, Optional<String> after, Freshness freshness) {
            return Promise.of(new EntryPage(new ArrayList<>(values.values()), false, revision));
        }

        @Override
        public Promise<EntryChanges> watch(String kind, long after, long waitMillis) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Promise<Void> ping(String kind) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Promise<Void> put(String kind, String name, JsonNode value) {
            values.put(name, new StoredEntry(name, ++revision, value));
            return Promise.complete();
        }

        @Override
        public Promise<Void> replace(String kind, String name, JsonNode value) {
            assertThat(values).containsKey(name);
            return put(kind, name, value);
        }

        @Override
        public Promise<Void> create(String kind, String name, JsonNode value) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Promise<Void> remove(String kind, String name, Optional<Long> expected) {
            assertThat(expected).contains(values.get(name).revision());
            values.remove(name);
            return Promise.complete();
        }

        @Override
        public void close() {}
    }
}
