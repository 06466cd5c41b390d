package org.martenwell.router;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.martenwell.objects.Box;
import org.martenwell.objects.Platform;
import org.martenwell.objects.StoredObject;

/** Guards against calls to the platform in a tight loop. */
final class PlatformFollowerTest {

    /** More calls than a follower makes while nothing changes. */
    private static final int MANY_CALLS = 10;

    private long nowMillis = 1;

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    private final ChangedPlatform platform = new ChangedPlatform();

    @Test
    void testInvalidConfigurationIsReadOnce() {
        PlatformFollower follower =
                new PlatformFollower(
                        loop,
                        platform,
                        new ConfigurationStore(configuration -> {}),
                        () -> true,
                        boxes -> {},
                        new Random(1));
        loop.post(follower::start);
        for (int step = 0; step < 2 * MANY_CALLS; step++) {
            nowMillis++;
            loop.post(() -> {});
            loop.run();
        }
        assertThat(platform.watches).isEqualTo(1);
    }

    /** Holds an invalid configuration and answers a watch once it has something newer. */
    private static final class ChangedPlatform implements Platform {

        private static final StoredObject INVALID =
                new StoredObject(
                        ConfigurationStore.KIND,
                        ConfigurationStore.NAME,
                        7,
                        "[".getBytes(StandardCharsets.UTF_8));

        private int watches;

        @Override
        public Promise<Optional<StoredObject>> read(String kind, String name) {
            return Promise.of(Optional.of(INVALID));
        }

        @Override
        public Promise<List<StoredObject>> watch(String kind, long after, long waitMillis) {
            watches++;
            return after < INVALID.version() && watches < MANY_CALLS
                    ? Promise.of(List.of(INVALID))
                    : new SettablePromise<>();
        }

        @Override
        public Promise<StoredObject> create(String kind, String name, byte[] value) {
            return new SettablePromise<>();
        }

        @Override
        public Promise<StoredObject> update(String kind, String name, byte[] value, long version) {
            return new SettablePromise<>();
        }

        @Override
        public Promise<List<Box>> boxes() {
            return new SettablePromise<>();
        }

        @Override
        public long callCount() {
            return 0;
        }
    }
}
