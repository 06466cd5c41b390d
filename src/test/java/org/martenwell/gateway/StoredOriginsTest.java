package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.version.OriginBatch;
import org.martenwell.version.ServiceVersion;
import org.martenwell.version.StreamOrigin;

/** Guards against streams that nobody stores, and against a store call for each stream. */
final class StoredOriginsTest {

    private static final long RETENTION_MILLIS = 20_000;

    private static final long STEP_MILLIS = 50;

    private static final long SECOND_MILLIS = 1_000;

    private static final Set<String> MIXED = Set.of("service");

    private long nowMillis = 1_000_000;

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    private final FakeStorage storage = new FakeStorage();

    private final KnownOrigins known = new KnownOrigins(RETENTION_MILLIS);

    private final StoredOrigins stored =
            new StoredOrigins(loop, known, new VersionWindow(RETENTION_MILLIS));

    @BeforeEach
    void setStorage() {
        stored.storage(storage);
    }

    @Test
    void testManyStreamsTakeFewWrites() {
        for (int key = 0; key < 200; key++) {
            stored.add(List.of(origin(key)), MIXED);
            advance(STEP_MILLIS);
        }
        advance(SECOND_MILLIS);
        assertThat(storage.stored()).hasSize(200);
        assertThat(storage.writes).isLessThan(25);
        assertThat(storage.names()).hasSizeLessThan(6);
    }

    @Test
    void testStreamsOfServicesWithOneVersionAreNotStored() {
        stored.add(List.of(origin(1)), Set.of("other"));
        advance(SECOND_MILLIS);
        assertThat(storage.writes).isZero();
    }

    @Test
    void testInvalidatedStreamsAreStored() {
        StreamOrigin unknown = new StreamOrigin(1, ServiceVersion.UNKNOWN);
        stored.add(List.of(unknown), Set.of());
        advance(SECOND_MILLIS);
        assertThat(storage.stored()).containsExactly(unknown);
    }

    @Test
    void testRefusedWriteIsRepeated() {
        storage.failing = true;
        stored.add(List.of(origin(1)), MIXED);
        advance(SECOND_MILLIS);
        storage.failing = false;
        advance(SECOND_MILLIS);
        assertThat(storage.stored()).containsExactly(origin(1));
    }

    /** The gateway that was to write is lost before it has. */
    @Test
    void testStreamsOfTheLastSecondsAreWrittenByTheGatewayThatTakesOver() {
        storage.writing = false;
        stored.add(List.of(origin(1)), MIXED);
        advance(10 * SECOND_MILLIS);
        stored.add(List.of(origin(2)), MIXED);
        advance(2 * SECOND_MILLIS);
        storage.writing = true;
        advance(SECOND_MILLIS);
        assertThat(storage.stored()).containsExactly(origin(2));
    }

    @Test
    void testOriginsAreMissingUntilTheyAreReadOrOfNoUse() {
        storage.failing = true;
        stored.read();
        assertThat(stored.isMissing()).isTrue();
        storage.failing = false;
        storage.batches.add(new OriginBatch("a", true, List.of(origin(1))));
        stored.read();
        assertThat(stored.isMissing()).isFalse();
        assertThat(known.find(1, nowMillis)).isPresent();

        StoredOrigins other = new StoredOrigins(loop, known, new VersionWindow(RETENTION_MILLIS));
        other.storage(storage);
        storage.failing = true;
        other.read();
        advance(RETENTION_MILLIS);
        assertThat(other.isMissing()).isFalse();
    }

    @Test
    void testOldOriginsAreRemovedOnceTheServiceHasOneVersion() {
        stored.add(List.of(origin(1)), MIXED);
        advance(SECOND_MILLIS);
        storage.left = 1;
        advance(2 * RETENTION_MILLIS);
        assertThat(storage.removals).isEqualTo(1);
        storage.left = 0;
        advance(2 * RETENTION_MILLIS);
        assertThat(storage.removals).isEqualTo(2);
        advance(4 * RETENTION_MILLIS);
        assertThat(storage.removals).isEqualTo(2);
    }

    private static StreamOrigin origin(long key) {
        return new StreamOrigin(key, new ServiceVersion("service", "v1"));
    }

    private void advance(long millis) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            nowMillis += STEP_MILLIS;
            loop.post(() -> {});
            loop.run();
            stored.check();
        }
    }

    /** Storage that can fail. */
    private static final class FakeStorage implements OriginStorage {

        private final List<OriginBatch> batches = new ArrayList<>();

        private boolean writing = true;

        private boolean failing;

        private int writes;

        private int removals;

        private int left;

        private List<StreamOrigin> stored() {
            return batches.stream().flatMap(each -> each.origins().stream()).toList();
        }

        private List<String> names() {
            return batches.stream().map(OriginBatch::name).toList();
        }

        @Override
        public boolean writes() {
            return writing;
        }

        @Override
        public boolean reads() {
            return true;
        }

        @Override
        public boolean removes() {
            return true;
        }

        @Override
        public Promise<Void> write(OriginBatch batch) {
            if (failing) {
                return Promise.ofException(new IllegalStateException("The store is unavailable."));
            }
            writes++;
            batches.removeIf(each -> each.name().equals(batch.name()));
            batches.add(batch);
            return Promise.complete();
        }

        @Override
        public Promise<List<StreamOrigin>> read() {
            return failing
                    ? Promise.ofException(new IllegalStateException("The store is unavailable."))
                    : Promise.of(stored());
        }

        @Override
        public Promise<Integer> removeUnchanged(long now, long ageMillis) {
            removals++;
            return Promise.of(left);
        }
    }
}
