package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.exchange.ConnectionLimits;
import org.martenwell.route.GatewayConfiguration;
import org.martenwell.route.Route;
import org.martenwell.version.ServiceVersion;
import org.martenwell.version.StreamOrigin;
import org.martenwell.version.VersionHistory;
import org.martenwell.version.VersionSighting;

/** Guards against a version that is guessed where store and peers don't tell. */
final class StreamVersionsTest {

    private static final long STEP_MILLIS = 50;

    /** Longer than any stream of the route may last, in milliseconds. */
    private static final long LONG_MILLIS = 200_000;

    private static final long DEADLINE_MILLIS = 4_000;

    /** The time after which a request that peers don't answer is refused, in milliseconds. */
    private static final long MAX_WAIT_MILLIS = 1_100;

    /** The time after which an old list is taken if peers allow it, in milliseconds. */
    private static final long LIST_MILLIS = 400;

    /** The time after which targets are listed again, in milliseconds. */
    private static final long REFRESHED_MILLIS = 400;

    private static final ServiceVersion OLD = new ServiceVersion("s", "v1");

    private static final DirectoryTarget TARGET = ReporterFleet.ALL_TARGETS.get("t");

    private long nowMillis = 1_000_000;

    private final Eventloop loop =
            Eventloop.builder().withTimeProvider(() -> nowMillis).withCurrentThread().build();

    private final FakePeers peers = new FakePeers();

    private final StreamVersions versions = new StreamVersions(loop);

    /** The outcomes of requests that took up a stream. */
    private final List<Optional<ResumedStream>> found = new ArrayList<>();

    /** The causes of the refusals among them. */
    private final List<StreamRefusal> refusals = new ArrayList<>();

    @BeforeEach
    void listTheOnlyVersion() {
        versions.peers(peers);
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis);
        peers.history = Optional.empty();
    }

    @Test
    void testStreamGoesOnAtTheOnlyVersionOfAListBehindItsRequest() {
        advance(LONG_MILLIS);
        find();
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis + 1);
        assertThat(found).containsExactly(onlyVersion());
        assertThat(peers.asked).isEmpty();
    }

    /** Requests are dated by their iteration of the loop, and may have been read far behind. */
    @Test
    void testListOfTheSameMillisecondDoesNotTellTheOnlyVersion() {
        advance(LONG_MILLIS);
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis);
        find();
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis);
        assertThat(found).isEmpty();
    }

    @Test
    void testListIsReadAgainBehindEachRequest() {
        advance(LONG_MILLIS);
        find();
        assertThat(found).isEmpty();
        advance(STEP_MILLIS);
        assertThat(peers.refreshes).isEqualTo(1);
        find();
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis);
        assertThat(found).containsExactly(onlyVersion());
        advance(REFRESHED_MILLIS);
        assertThat(peers.refreshes).isEqualTo(2);
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis);
        assertThat(found).containsExactly(onlyVersion(), onlyVersion());
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
    void testOldListIsTakenForCurrentOncePeersDenyTheStream() {
        advance(LONG_MILLIS);
        find();
        advance(LIST_MILLIS);
        assertThat(found).isEmpty();
        assertThat(peers.asked).contains(StreamOrigin.key("a"));
        versions.denied("p", List.of(StreamOrigin.key("a")));
        assertThat(found).containsExactly(onlyVersion());
    }

    /** A peer that reported shortly before may list a second version meanwhile. */
    @Test
    void testOldListIsNotTakenForCurrentBecausePeersReported() {
        advance(LONG_MILLIS);
        find();
        advance(MAX_WAIT_MILLIS);
        assertThat(refusals).containsExactly(StreamRefusal.PEERS_SILENT);
    }

    /** The notice of a second version has arrived and is not read yet, or its link is cut. */
    @Test
    void testOnlyVersionOfARecentListIsNotTakenBeforePeersHaveAnswered() {
        advance(LONG_MILLIS);
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis - STEP_MILLIS);
        find();
        assertThat(found).isEmpty();
        ServiceVersion second = new ServiceVersion("s", "v2");
        versions.learn(new VersionHistory(0, List.of(new VersionSighting(second, 0))));
        versions.denied("p", List.of(StreamOrigin.key("a")));
        assertThat(refusals).containsExactly(StreamRefusal.UNKNOWN_TO_PEERS);
    }

    @Test
    void testOnlyVersionOfARecentListIsTakenOncePeersHaveAnswered() {
        advance(LONG_MILLIS);
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis - STEP_MILLIS);
        find();
        versions.denied("p", List.of(StreamOrigin.key("a")));
        assertThat(found).containsExactly(onlyVersion());
    }

    @Test
    void testOnlyVersionOfARecentListIsTakenOnceTheTargetsAreListedAgain() {
        advance(LONG_MILLIS);
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis - STEP_MILLIS);
        find();
        advance(STEP_MILLIS);
        assertThat(peers.refreshes).isEqualTo(1);
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis);
        assertThat(found).containsExactly(onlyVersion());
    }

    @Test
    void testGatewayThatHasJustStartedDoesNotTakeTheFirstListForThePast() {
        find();
        advance(MAX_WAIT_MILLIS);
        assertThat(found).containsExactly(Optional.empty());
        assertThat(refusals).containsExactly(StreamRefusal.PEERS_SILENT);
    }

    @Test
    void testStreamIsRefusedOnceAllPeersInContactDenyIt() {
        peers.respondents = Set.of("p", "q");
        find();
        versions.denied("p", List.of(StreamOrigin.key("a")));
        assertThat(found).isEmpty();
        versions.denied("q", List.of(StreamOrigin.key("a")));
        assertThat(refusals).containsExactly(StreamRefusal.HISTORY_TOO_SHORT);
    }

    @Test
    void testStreamOfSeveralVersionsIsRefusedOnceAllPeersInContactDenyIt() {
        versions.list(List.of(TARGET.withVersion("v1"), TARGET.withVersion("v2")), nowMillis);
        find();
        versions.denied("p", List.of(StreamOrigin.key("a")));
        assertThat(refusals).containsExactly(StreamRefusal.UNKNOWN_TO_PEERS);
    }

    @Test
    void testGatewayThatDoesNotKnowItsFleetYetWaitsForIt() {
        peers.respondents = Set.of();
        peers.fleetKnown = false;
        find();
        advance(300);
        assertThat(found).isEmpty();
        peers.respondents = Set.of("p");
        peers.fleetKnown = true;
        advance(200);
        assertThat(peers.asked).contains(StreamOrigin.key("a"));
        versions.learn(List.of(new StreamOrigin(StreamOrigin.key("a"), OLD)), true);
        assertThat(found).containsExactly(Optional.of(new ResumedStream(OLD, OriginSource.PEER)));
    }

    @Test
    void testGatewayWhoseOwnLoopIsLateReadsTheAnswerBeforeItRefuses() {
        find();
        nowMillis += 5_000;
        loop.post(() -> {});
        loop.run();
        assertThat(found).isEmpty();
        versions.learn(List.of(new StreamOrigin(StreamOrigin.key("a"), OLD)), true);
        assertThat(found).containsExactly(Optional.of(new ResumedStream(OLD, OriginSource.PEER)));
    }

    @Test
    void testNoMoreThanHalfOfTheTimeToTheDeadlineIsWaitedForPeers() {
        versions.find(
                Optional.of("a"),
                GatewayCores.route(400),
                800,
                result -> found.add(result.stream()));
        advance(400);
        assertThat(found).containsExactly(Optional.empty());
    }

    @Test
    void testCallerThatNamesNoAttemptIsRefusedWhileThereAreSeveralVersions() {
        versions.list(List.of(TARGET.withVersion("v1"), TARGET.withVersion("v2")), nowMillis);
        versions.find(Optional.empty(), GatewayCores.route(400), DEADLINE_MILLIS, this::record);
        assertThat(refusals).containsExactly(StreamRefusal.NO_ATTEMPT_NAMED);
    }

    @Test
    void testContradictoryAttemptIsRefused() {
        versions.learn(List.of(new StreamOrigin(StreamOrigin.key("a"), OLD)), true);
        versions.learn(
                List.of(new StreamOrigin(StreamOrigin.key("a"), new ServiceVersion("s", "v2"))),
                false);
        find();
        assertThat(refusals).containsExactly(StreamRefusal.CONTRADICTORY);
    }

    /** Its last attempt lasts up to the time-out of the route, and its caller comes back later. */
    @Test
    void testStreamThatLastedUpToTheTimeOutDoesNotGoOnAtTheVersionThatIsLeft() {
        versions.configure(configuration(GatewayCores.route(400)));
        advance(LONG_MILLIS);
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis);
        versions.list(List.of(TARGET.withVersion("v2")), nowMillis);
        advance(GatewayCores.route(400).timeoutMillis() + 1_000);
        versions.list(List.of(TARGET.withVersion("v2")), nowMillis);
        find();
        assertThat(found).isEmpty();
    }

    /** The stream began while its route allowed more time than the configuration does now. */
    @Test
    void testStreamOfALongerTimeOutDoesNotGoOnAtTheVersionThatIsLeft() {
        versions.configure(configuration(GatewayCores.route(400)));
        advance(LONG_MILLIS);
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis);
        versions.list(List.of(TARGET.withVersion("v2")), nowMillis);
        versions.configure(configuration());
        advance(GatewayCores.route(400).timeoutMillis() - 1_000);
        versions.list(List.of(TARGET.withVersion("v2")), nowMillis);
        find();
        assertThat(found).isEmpty();
    }

    @Test
    void testOriginOfALongerTimeOutIsKnownBehindAConfigurationWithAShorterOne() {
        versions.configure(configuration(GatewayCores.route(400)));
        versions.list(List.of(TARGET.withVersion("v1"), TARGET.withVersion("v2")), nowMillis);
        versions.began("a", TARGET.withVersion("v1"), GatewayCores.route(400));
        versions.configure(configuration());
        advance(GatewayCores.route(400).timeoutMillis() - 1_000);
        find();
        assertThat(found).containsExactly(Optional.of(new ResumedStream(OLD, OriginSource.OWN)));
    }

    /** A gateway that starts knows the shorter time-out alone. */
    @Test
    void testPeerThatStartsBehindAShorterTimeOutLearnsWhichVersionsStreamsMayHave() {
        versions.configure(configuration(GatewayCores.route(400)));
        advance(LONG_MILLIS);
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis);
        versions.list(List.of(TARGET.withVersion("v2")), nowMillis);
        versions.configure(configuration());
        advance(GatewayCores.route(400).timeoutMillis() - 1_000);
        StreamVersions started = new StreamVersions(loop);
        started.configure(configuration());
        started.learn(versions.historyForNewPeer());
        started.list(List.of(TARGET.withVersion("v2")), nowMillis);
        started.find(Optional.of("a"), GatewayCores.route(400), DEADLINE_MILLIS, this::record);
        assertThat(refusals).containsExactly(StreamRefusal.UNKNOWN_TO_PEERS);
    }

    /** A version that went shortly before the gateway started has an age below the difference. */
    @Test
    void testPeerThatStartsBehindAShorterTimeOutKeepsVersionsForTheLongerOne() {
        versions.configure(configuration(GatewayCores.route(400)));
        advance(LONG_MILLIS);
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis);
        versions.list(List.of(TARGET.withVersion("v2")), nowMillis);
        versions.configure(configuration());
        StreamVersions started = new StreamVersions(loop);
        started.configure(configuration());
        started.learn(versions.historyForNewPeer());
        started.list(List.of(TARGET.withVersion("v2")), nowMillis);
        advance(GatewayCores.route(400).timeoutMillis() - 1_000);
        started.list(List.of(TARGET.withVersion("v2")), nowMillis);
        started.find(Optional.of("a"), GatewayCores.route(400), DEADLINE_MILLIS, this::record);
        assertThat(refusals).containsExactly(StreamRefusal.UNKNOWN_TO_PEERS);
    }

    /** A version that went behind the start was listed while the longer time-out applied. */
    @Test
    void testPeerThatStartsBehindAShorterTimeOutKeepsVersionsThatGoLater() {
        versions.configure(configuration(GatewayCores.route(400)));
        advance(LONG_MILLIS);
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis);
        versions.configure(configuration());
        StreamVersions started = new StreamVersions(loop);
        started.configure(configuration());
        started.learn(versions.historyForNewPeer());
        started.list(List.of(TARGET.withVersion("v1")), nowMillis);
        started.list(List.of(TARGET.withVersion("v2")), nowMillis);
        advance(GatewayCores.route(400).timeoutMillis() - 1_000);
        started.list(List.of(TARGET.withVersion("v2")), nowMillis);
        started.find(Optional.of("a"), GatewayCores.route(400), DEADLINE_MILLIS, this::record);
        assertThat(refusals).containsExactly(StreamRefusal.UNKNOWN_TO_PEERS);
    }

    @Test
    void testRetentionShrinksOnceStreamsOfALongerTimeOutHaveEnded() {
        versions.configure(configuration(GatewayCores.route(400)));
        long longMillis = versions.retentionMillis();
        versions.configure(configuration());
        assertThat(versions.retentionMillis()).isEqualTo(longMillis);
        advance(2 * longMillis);
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis);
        assertThat(versions.retentionMillis()).isLessThan(longMillis);
    }

    @Test
    void testRecordsTellAGatewayWhoseFleetWasLost() {
        peers.recorded = Set.of(OLD);
        find();
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis + 1);
        assertThat(found).containsExactly(onlyVersion());
    }

    @Test
    void testRecordOfAVersionThatHasGoneKeepsStreamsFromTheOneThatIsLeft() {
        peers.recorded = Set.of(OLD, new ServiceVersion("s", "v2"));
        find();
        versions.denied("p", List.of(StreamOrigin.key("a")));
        assertThat(refusals).containsExactly(StreamRefusal.UNKNOWN_TO_PEERS);
    }

    /** A fleet that has written no records yet has none of versions that have gone. */
    @Test
    void testMissingRecordsDoNotTellThatOneVersionAloneWasListed() {
        find();
        versions.denied("p", List.of(StreamOrigin.key("a")));
        assertThat(refusals).containsExactly(StreamRefusal.HISTORY_TOO_SHORT);
        assertThat(peers.written).isEmpty();
    }

    @Test
    void testVersionsOfANewFleetAreRecordedAtOnce() {
        peers.listedEver = Optional.of(Set.of(OLD));
        find();
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis + 1);
        assertThat(found).containsExactly(onlyVersion());
        versions.records().check();
        assertThat(peers.written).containsExactly(OLD);
    }

    @Test
    void testVersionThatHasGoneFromANewFleetKeepsStreamsFromTheOneThatIsLeft() {
        ServiceVersion gone = new ServiceVersion("s", "v0");
        peers.listedEver = Optional.of(Set.of(OLD, gone));
        find();
        versions.denied("p", List.of(StreamOrigin.key("a")));
        assertThat(refusals).containsExactly(StreamRefusal.UNKNOWN_TO_PEERS);
        versions.records().check();
        assertThat(peers.written).containsExactlyInAnyOrder(OLD, gone);
    }

    @Test
    void testNoStreamBeginsAtAVersionWhoseRecordIsBeingWritten() {
        ServiceVersion second = new ServiceVersion("s", "v2");
        advance(LONG_MILLIS);
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis);
        assertThat(peers.written).containsExactly(OLD);
        peers.writable = false;
        versions.list(List.of(TARGET.withVersion("v1"), TARGET.withVersion("v2")), nowMillis);
        assertThat(peers.written).containsExactly(OLD, second);
        assertThat(versions.records().isHeld(OLD)).isFalse();
        assertThat(versions.records().isHeld(second)).isTrue();
        versions.records().learn(List.of(second));
        assertThat(versions.records().isHeld(second)).isFalse();
    }

    @Test
    void testPeersTellAGatewayThatHasJustStarted() {
        versions.learn(new VersionHistory(LONG_MILLIS, List.of(new VersionSighting(OLD, 0))));
        find();
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis + 1);
        assertThat(found).containsExactly(onlyVersion());
    }

    @Test
    void testResponseOfAPeerEndsTheWait() {
        find();
        assertThat(peers.asked).containsExactly(StreamOrigin.key("a"));
        versions.learn(List.of(new StreamOrigin(StreamOrigin.key("a"), OLD)), true);
        assertThat(found).containsExactly(Optional.of(new ResumedStream(OLD, OriginSource.PEER)));
    }

    /** A peer tells of the stream before the directory tells of the version's targets. */
    @Test
    void testStreamOfAVersionThatIsNotListedYetWaitsForTheList() {
        ServiceVersion second = new ServiceVersion("s", "v2");
        advance(LONG_MILLIS);
        find();
        versions.learn(List.of(new StreamOrigin(StreamOrigin.key("a"), second)), true);
        versions.denied("p", List.of(StreamOrigin.key("a")));
        advance(STEP_MILLIS);
        assertThat(found).isEmpty();
        assertThat(peers.refreshes).isEqualTo(1);
        versions.list(List.of(TARGET.withVersion("v1"), TARGET.withVersion("v2")), nowMillis);
        assertThat(found)
                .containsExactly(Optional.of(new ResumedStream(second, OriginSource.PEER)));
    }

    /** A caller that is told that the version has gone does not come back. */
    @Test
    void testVersionIsNotTakenForGoneByAnOldList() {
        advance(LONG_MILLIS);
        versions.learn(
                List.of(new StreamOrigin(StreamOrigin.key("a"), new ServiceVersion("s", "v2"))),
                true);
        find();
        advance(LIST_MILLIS);
        assertThat(refusals).containsExactly(StreamRefusal.VERSION_UNLISTED);
    }

    /** The dispatch refuses the request at once then. */
    @Test
    void testVersionIsTakenForGoneByAListBehindTheRequest() {
        ServiceVersion gone = new ServiceVersion("s", "v0");
        advance(LONG_MILLIS);
        versions.learn(List.of(new StreamOrigin(StreamOrigin.key("a"), gone)), true);
        find();
        versions.list(List.of(TARGET.withVersion("v1")), nowMillis + 1);
        assertThat(found).containsExactly(Optional.of(new ResumedStream(gone, OriginSource.PEER)));
    }

    @Test
    void testNothingIsSentWhileThereIsOneVersion() {
        versions.began("a", TARGET.withVersion("v1"), GatewayCores.route(400));
        assertThat(versions.takeUnsent()).isEmpty();
    }

    /** A peer that connects later must not take the only version for such a stream's. */
    @Test
    void testStreamOfAnUnknownVersionIsTransferredToPeersThatConnect() {
        versions.began("a", TARGET.withVersion("v1"), GatewayCores.route(400));
        versions.versionChanged(TARGET.id());
        assertThat(versions.notified())
                .containsExactly(new StreamOrigin(StreamOrigin.key("a"), ServiceVersion.UNKNOWN));
    }

    @Test
    void testPeersAreNotifiedOfEarlierStreamsOnceASecondVersionIsListed() {
        versions.began("a", TARGET.withVersion("v1"), GatewayCores.route(400));
        versions.list(List.of(TARGET.withVersion("v1"), TARGET.withVersion("v2")), nowMillis);
        assertThat(peers.history).isPresent();
        assertThat(versions.takeUnsent())
                .containsExactly(new StreamOrigin(StreamOrigin.key("a"), OLD));
    }

    private static GatewayConfiguration configuration(Route... routes) {
        return new GatewayConfiguration(
                1,
                List.of(routes),
                Map.of(),
                ConnectionLimits.DEFAULTS,
                0,
                false,
                Map.of(),
                List.of());
    }

    private static Optional<ResumedStream> onlyVersion() {
        return Optional.of(new ResumedStream(OLD, OriginSource.ONLY_VERSION));
    }

    private void find() {
        versions.find(Optional.of("a"), GatewayCores.route(400), DEADLINE_MILLIS, this::record);
    }

    private void record(StreamLookup result) {
        found.add(result.stream());
        result.refusal().ifPresent(refusals::add);
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

        private final List<ServiceVersion> written = new ArrayList<>();

        private Set<ServiceVersion> recorded = Set.of();

        private Optional<Set<ServiceVersion>> listedEver = Optional.empty();

        private boolean writable = true;

        private Set<String> respondents = Set.of("p");

        private boolean fleetKnown = true;

        @Override
        public Set<String> respondents(InquiryScope scope) {
            return respondents;
        }

        @Override
        public boolean fleetKnown() {
            return fleetKnown;
        }

        @Override
        public void ask(String peer, List<Long> attempts) {
            asked.addAll(attempts);
        }

        @Override
        public void sendSoon() {}

        @Override
        public boolean owns(ServiceVersion version) {
            return true;
        }

        @Override
        public Promise<Void> record(ServiceVersion version) {
            written.add(version);
            return writable ? Promise.complete() : new SettablePromise<>();
        }

        @Override
        public Promise<Void> removeRecord(ServiceVersion version) {
            written.remove(version);
            return Promise.complete();
        }

        @Override
        public Promise<Set<ServiceVersion>> readRecords() {
            return Promise.of(recorded);
        }

        @Override
        public Promise<Optional<Set<ServiceVersion>>> readHistory() {
            return Promise.of(listedEver);
        }

        @Override
        public void sendRecorded(List<ServiceVersion> sent) {}

        @Override
        public boolean stopped() {
            return false;
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
