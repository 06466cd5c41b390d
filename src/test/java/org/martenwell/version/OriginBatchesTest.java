package org.martenwell.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against origins of streams that are never stored. */
final class OriginBatchesTest {

    private static final ServiceVersion VERSION = new ServiceVersion("service", "v1");

    private static final StreamOrigin FIRST = new StreamOrigin(1, VERSION);

    private static final StreamOrigin SECOND = new StreamOrigin(2, VERSION);

    /** Longer than origins are added to one batch, in milliseconds. */
    private static final long LATER_MILLIS = 3_000;

    private final OriginBatches batches = new OriginBatches("process");

    @Test
    void testBatchIsStoredOnce() {
        batches.add(FIRST, 0);
        OriginBatch batch = batches.unstored().orElseThrow();
        assertThat(batch.origins()).containsExactly(FIRST);
        assertThat(batch.exists()).isFalse();
        batches.stored(batch);
        assertThat(batches.unstored()).isEmpty();
    }

    @Test
    void testOriginThatIsAddedWhileItsBatchIsBeingStoredIsNotLeftOut() {
        batches.add(FIRST, 0);
        OriginBatch batch = batches.unstored().orElseThrow();
        batches.add(SECOND, 0);
        batches.stored(batch);
        OriginBatch grown = batches.unstored().orElseThrow();
        assertThat(grown).isEqualTo(new OriginBatch(batch.name(), true, List.of(FIRST, SECOND)));
    }

    @Test
    void testLaterOriginsGetABatchOfTheirOwn() {
        batches.add(FIRST, 0);
        OriginBatch first = batches.unstored().orElseThrow();
        batches.add(SECOND, LATER_MILLIS);
        assertThat(batches.unstored()).contains(first);
        batches.stored(first);
        OriginBatch second = batches.unstored().orElseThrow();
        assertThat(second.origins()).containsExactly(SECOND);
        assertThat(second.name()).isNotEqualTo(first.name());
    }

    /** A write without a response may or may not have created the object. */
    @Test
    void testFailedBatchIsStoredAgainAsIfItDidNotExist() {
        batches.add(FIRST, 0);
        batches.stored(batches.unstored().orElseThrow());
        batches.add(SECOND, 0);
        batches.failed(batches.unstored().orElseThrow());
        assertThat(batches.unstored().orElseThrow().exists()).isFalse();
    }

    @Test
    void testOldBatchesAreDiscarded() {
        batches.add(FIRST, 0);
        batches.add(SECOND, LATER_MILLIS);
        batches.discardBefore(LATER_MILLIS);
        assertThat(batches.unstored().orElseThrow().origins()).containsExactly(SECOND);
    }
}
