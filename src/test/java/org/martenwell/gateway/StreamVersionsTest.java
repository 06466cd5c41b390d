package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.version.ServiceVersion;
import org.martenwell.version.StreamOrigin;
import org.martenwell.version.VersionHistory;
import org.martenwell.version.VersionSighting;

/** Guards against a version that is guessed where store and peers don't tell. */
final class StreamVersionsTest {

    private static final long STEP_MILLIS = 50;

    /** Longer than any stream of the route may last, in milliseconds. */
    private static final long LONG_MILLIS = 200_000;

    private static final ServiceVersion OLD = new ServiceVersion("s", "v1");

    private static final DirectoryTarget TARGET = ReporterFleet.ALL_TARGETS.get("t");

    private long nowMillis = 1_000_000;

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    private final FakePeers peers = new FakePeers();

    private final StreamVersions versions = new StreamVersions(loop);

    /** The outcomes of requests that took up a stream. */
    private final List<Optional<ResumedStream>> found = new ArrayList<>();

    @BeforeEach
    void listTheOnlyVersion() {
        versions.peers(peers);
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis);
        peers.history = Optional.empty();
    }

    @Test
    void testStreamGoesOnAtTheOnlyVersionOfACurrentList() {
        advance(LONG_MILLIS);
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis);
        find();
        assertThat(found).containsExactly(onlyVersion());
        assertThat(peers.asked).isEmpty();
    }

    @Test
    void testListIsReadAgainIfItIsOld() {
        advance(LONG_MILLIS);
        find();
        assertThat(found).isEmpty();
        assertThat(peers.refreshes).isEqualTo(1);
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis);
        assertThat(found).containsExactly(onlyVersion());
    }

    @Test
    void testOldListIsNotTakenForCurrentWithoutStoreAndPeers() {
        advance(LONG_MILLIS);
        peers.inContact = false;
        find();
        advance(400);
        assertThat(found).containsExactly(Optional.empty());
    }

    @Test
    void testOldListIsTakenForCurrentWhilePeersReport() {
        advance(LONG_MILLIS);
        find();
        advance(400);
        assertThat(found).containsExactly(onlyVersion());
    }

    @Test
    void testGatewayThatHasJustStartedDoesNotTakeTheFirstListForThePast() {
        find();
        advance(400);
        assertThat(found).containsExactly(Optional.empty());
    }

    @Test
    void testPeersTellAGatewayThatHasJustStarted() {
        versions.learn(new VersionHistory(LONG_MILLIS, List.of(new VersionSighting(OLD, 0))));
        find();
        assertThat(found).containsExactly(onlyVersion());
    }

    @Test
    void testResponseOfAPeerEndsTheWait() {
        find();
        assertThat(peers.asked).containsExactly(StreamOrigin.key("a"));
        versions.learn(List.of(new StreamOrigin(StreamOrigin.key("a"), OLD)));
        assertThat(found).containsExactly(Optional.of(new ResumedStream(OLD, OriginSource.PEER)));
    }

    @Test
    void testNothingIsSentWhileThereIsOneVersion() {
        versions.began("a", TARGET.withVersion("v1"), GatewayCores.route(400));
        assertThat(versions.takeUnsent()).isEmpty();
    }

    @Test
    void testPeersAreNotifiedOfEarlierStreamsOnceASecondVersionIsListed() {
        versions.began("a", TARGET.withVersion("v1"), GatewayCores.route(400));
        versions.list(List.of(TARGET.withVersion("v1"), TARGET.withVersion("v2")), nowMillis);
        assertThat(peers.history).isPresent();
        assertThat(versions.takeUnsent())
                .containsExactly(new StreamOrigin(StreamOrigin.key("a"), OLD));
    }

    private static Optional<ResumedStream> onlyVersion() {
        return Optional.of(new ResumedStream(OLD, OriginSource.ONLY_VERSION));
    }

    private void find() {
        versions.find(
                Optional.of("a"), GatewayCores.route(400), result -> found.add(result.stream()));
    }

    /** Lets time pass and runs the tasks that are due. */
    private void advance(long millis) {
        for (long passed = 0; passed < millis; passed += Math.max(STEP_MILLIS, millis / 10)) {
            nowMillis += Math.max(STEP_MILLIS, millis / 10);
            loop.post(() -> {});
            loop.run();
        }
    }

    /** Peers that never respond by themselves. */
    private static final class FakePeers implements OriginPeers {

        private final List<Long> asked = new ArrayList<>();

        private Optional<VersionHistory> history = Optional.empty();

        private int refreshes;

        private boolean inContact = true;

        @Override
        public void ask(List<Long> attempts) {
            asked.addAll(attempts);
        }

        @Override
        public void send(VersionHistory sent) {
            history = Optional.of(sent);
        }

        @Override
        public void refreshTargets() {
            refreshes++;
        }

        @Override
        public boolean inContact() {
            return inContact;
        }
    }
}
