package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.version.ServiceVersion;
import org.martenwell.version.StreamOrigin;

/** Guards against precedence for requests that name attempts which the fleet has not admitted. */
final class StreamPrecedenceTest {

    private static final DirectoryTarget TARGET =
            ReporterFleet.ALL_TARGETS.get("t").withVersion("v1");

    private long nowMillis = 1_000_000;

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    private final StreamVersions versions = new StreamVersions(loop);

    @BeforeEach
    void list() {
        versions.list(List.of(TARGET), nowMillis);
    }

    @Test
    void testStreamThatBeganHereTakesPrecedenceForItsOrganisation() {
        versions.began("a", TARGET, GatewayCores.route(400));
        versions.admitted("a", "organisation");
        assertThat(versions.takePrecedence("a", "other")).isFalse();
        assertThat(versions.takePrecedence("a", "organisation")).isTrue();
    }

    @Test
    void testStreamThatAPeerReportedTakesPrecedence() {
        learn("a", "v1");
        assertThat(versions.takePrecedence("a", "organisation")).isTrue();
    }

    @Test
    void testUnknownAttemptTakesNone() {
        assertThat(versions.takePrecedence("a", "organisation")).isFalse();
    }

    @Test
    void testAttemptAtTwoVersionsTakesNone() {
        learn("a", "v1");
        learn("a", "v2");
        assertThat(versions.takePrecedence("a", "organisation")).isFalse();
    }

    private void learn(String attempt, String version) {
        StreamOrigin origin =
                new StreamOrigin(StreamOrigin.key(attempt), new ServiceVersion("s", version));
        versions.learn(List.of(origin), true);
    }
}
