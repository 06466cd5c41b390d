package org.martenwell.version;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests how long and in which case of doubt the origin of a stream is known. */
final class StreamOriginsTest {

    private static final long RETENTION = 1_000;

    private static final ServiceVersion OLD = new ServiceVersion("s", "v1");

    private static final ServiceVersion NEW = new ServiceVersion("s", "v2");

    private final StreamOrigins origins = new StreamOrigins(RETENTION);

    @Test
    void testOriginIsRetainedForAtLeastTheRetentionTime() {
        for (long started = 0; started < 5 * RETENTION; started += RETENTION / 7) {
            origins.put(new StreamOrigin(started, OLD), started);
            assertThat(origins.find(started - RETENTION / 7 * 6, started).isPresent())
                    .isEqualTo(started >= RETENTION / 7 * 6);
        }
    }

    @Test
    void testOldOriginsAreDiscarded() {
        origins.put(new StreamOrigin(1, OLD), 0);
        assertThat(origins.find(1, 2 * RETENTION)).isEmpty();
        assertThat(origins.size()).isZero();
    }

    @Test
    void testContradictoryOriginIsUnknown() {
        origins.put(new StreamOrigin(1, OLD), 0);
        origins.put(new StreamOrigin(1, NEW), 0);
        origins.put(new StreamOrigin(1, OLD), 0);
        assertThat(origins.find(1, 0)).contains(ServiceVersion.UNKNOWN);
    }

    @Test
    void testOriginsOfAServiceAreFound() {
        origins.put(new StreamOrigin(1, OLD), 0);
        origins.put(new StreamOrigin(2, NEW), RETENTION);
        origins.put(new StreamOrigin(3, new ServiceVersion("t", "v1")), RETENTION);
        assertThat(origins.of("s", RETENTION))
                .containsExactlyInAnyOrder(new StreamOrigin(1, OLD), new StreamOrigin(2, NEW));
    }
}
