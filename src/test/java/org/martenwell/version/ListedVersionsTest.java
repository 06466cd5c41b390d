package org.martenwell.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against a version that is taken for the only one although another was listed of late. */
final class ListedVersionsTest {

    private static final long RETENTION = 1_000;

    private static final ServiceVersion OLD = new ServiceVersion("s", "v1");

    private static final ServiceVersion NEW = new ServiceVersion("s", "v2");

    private final ListedVersions versions = new ListedVersions();

    @Test
    void testOnlyVersionIsKnownOnceItWasTheOnlyOneForLongEnough() {
        versions.update(Set.of(OLD), 100, RETENTION);
        assertThat(versions.only("s", 99)).isEmpty();
        assertThat(versions.only("s", 100)).contains(OLD);
    }

    @Test
    void testVersionThatHasGoneStillCounts() {
        versions.update(Set.of(OLD, NEW), 0, RETENTION);
        versions.update(Set.of(NEW), 500, RETENTION);
        assertThat(versions.only("s", 500)).isEmpty();
        assertThat(versions.only("s", 501)).contains(NEW);
    }

    @Test
    void testPeersTellOfVersionsAndOfEarlierTimes() {
        versions.update(Set.of(OLD), 1_000, RETENTION);
        assertThat(versions.merge(history(800, new VersionSighting(OLD, 0)), 1_000)).isFalse();
        assertThat(versions.only("s", 200)).contains(OLD);
        assertThat(versions.merge(history(800, new VersionSighting(NEW, 300)), 1_000)).isTrue();
        assertThat(versions.only("s", 200)).isEmpty();
        assertThat(versions.only("s", 701)).contains(OLD);
    }

    @Test
    void testPeerThatKnowsNothingChangesNothing() {
        versions.update(Set.of(OLD), 1_000, RETENTION);
        versions.merge(new ListedVersions().history(0), 1_000);
        assertThat(versions.only("s", 999)).isEmpty();
    }

    private static VersionHistory history(long coveredMillis, VersionSighting sighting) {
        return new VersionHistory(coveredMillis, List.of(sighting));
    }
}
