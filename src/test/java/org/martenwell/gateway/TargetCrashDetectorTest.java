package org.martenwell.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.martenwell.service.Conditions.await;

import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.martenwell.directory.DirectoryTarget;
import org.martenwell.exchange.CallerServer;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.RequestSummary;
import org.martenwell.service.BusyLoop;
import org.martenwell.service.EventLoopThread;
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopbackPorts;

/** Tests the detection of crashes by probes and by changes of the directory. */
class TargetCrashDetectorTest {

    private static final SuspectRequest SUSPECT =
            new SuspectRequest(
                    new Fingerprint(1, 2), RequestSummary.of("GET", "h", "/", "clinic"), List.of());

    /** Longer than an attempt waits for its probe, in milliseconds. */
    private static final long BUSY_MILLIS = 700;

    private final EventLoopThread thread = EventLoopThread.start("target-crash-detector");

    private final String address = LoopbackPorts.free(1).get(0);

    private final List<String> crashed = new ArrayList<>();

    private final AtomicInteger completedProbes = new AtomicInteger();

    private final TargetCrashDetector detector =
            new TargetCrashDetector(thread.loop(), new Recorder());

    private final TargetTable table =
            new TargetTable(
                    thread.loop(),
                    "self",
                    new TargetCrashListener(
                            target -> detector.targetCrashed(target, CrashSource.DIRECTORY)));

    /** Records the incarnations of suspected requests. */
    private final class Recorder implements TargetCrashDetector.CrashListener {

        @Override
        public void crashed(SuspectRequest suspect, String incarnation) {
            crashed.add(incarnation);
        }

        @Override
        public void targetCrashed(String incarnation, CrashSource source) {}
    }

    @AfterEach
    void stop() {
        thread.stop();
    }

    @Test
    void testTargetThatRefusesConnectionsCrashed() {
        updateTable(target("a", 1, false));
        failAttempt("a");
        await(() -> completedProbes.get() == 1);
        assertThat(crashed()).containsExactly("a@1");
    }

    @Test
    void testTargetThatAcceptsConnectionsDidNotCrash() {
        listen();
        updateTable(target("a", 1, false));
        failAttempt("a");
        await(() -> completedProbes.get() == 1);
        assertThat(crashed()).isEmpty();
    }

    /** A delayed probe may reach the next incarnation. */
    @Test
    void testRestartedTargetCrashedThoughItAcceptsConnections() {
        listen();
        updateTable(target("a", 1, false));
        failAttempt("a");
        await(() -> completedProbes.get() == 1);
        updateTable(target("a", 2, false));
        assertThat(crashed()).containsExactly("a@1");
    }

    @Test
    void testTargetWhoseAddressWasReusedCrashed() {
        listen();
        updateTable(target("a", 1, false));
        failAttempt("a");
        await(() -> completedProbes.get() == 1);
        updateTable(target("a", 1, false), target("b", 2, false));
        assertThat(crashed()).containsExactly("a@1");
    }

    /** A planned shutdown is not attributed to the requests in progress. */
    @Test
    void testTargetThatDrainedDidNotCrash() {
        listen();
        updateTable(target("a", 1, false));
        failAttempt("a");
        await(() -> completedProbes.get() == 1);
        updateTable(target("a", 1, true));
        updateTable();
        assertThat(crashed()).isEmpty();
    }

    @Test
    void testCrashIsAttributedToCancelledAttempt() {
        updateTable(target("a", 1, false));
        run(() -> detector.attemptCancelled(known("a"), SUSPECT));
        failAttempt("a");
        await(() -> completedProbes.get() == 1);
        assertThat(crashed()).containsExactly("a@1", "a@1");
    }

    @Test
    void testTargetThatRefusesConnectionsBehindAnUnframedResponseCrashed() {
        updateTable(target("a", 1, false));
        endWithConnection("a");
        await(() -> completedProbes.get() == 1);
        assertThat(crashed()).containsExactly("a@1", "true");
    }

    /**
     * A request whose response ended before its target crashed for another reason is no suspect.
     */
    @Test
    void testTargetThatOutlivedAnUnframedResponseIsNotAttributedToIt() {
        listen();
        updateTable(target("a", 1, false));
        endWithConnection("a");
        await(() -> completedProbes.get() == 1);
        updateTable(target("a", 2, false));
        assertThat(crashed()).containsExactly("false");
    }

    @Test
    void testUnframedResponseThatEndsDuringAProbeIsProbedToo() {
        listen();
        updateTable(target("a", 1, false));
        failAttempt("a");
        endWithConnection("a");
        await(() -> completedProbes.get() == 2);
        assertThat(crashed()).containsExactly("false");
    }

    /** A busy loop must not take a probe that it has not seen refused for one without a result. */
    @Test
    void testCrashIsSeenByABusyLoop() {
        updateTable(target("a", 1, false));
        run(
                () -> {
                    probeBehindAResponse("a");
                    BusyLoop.block(BUSY_MILLIS);
                });
        await(() -> completedProbes.get() == 1);
        assertThat(crashed()).containsExactly("a@1", "true");
    }

    /** A response that is read late was truncated by the crash that ended its target. */
    @Test
    void testUnframedResponseSentBeforeACrashIsTruncatedThoughTheTargetIsBack() {
        updateTable(target("a", 1, false));
        TargetRun run = TargetRun.current(known("a"));
        failAttempt("a");
        await(() -> completedProbes.get() == 1);
        listen();
        run(() -> probeBehindAResponse(run));
        assertThat(crashed()).containsExactly("a@1", "a@1", "true");
    }

    @Test
    void testAttemptSentBeforeARefusedConnectionIsAttributedThoughTheTargetIsBack() {
        listen();
        updateTable(target("a", 1, false));
        TargetRun run = TargetRun.current(known("a"));
        run(() -> detector.targetCrashed(known("a"), CrashSource.CONNECTION));
        failAttempt(run);
        assertThat(crashed()).containsExactly("a@1");
    }

    @Test
    void testUnframedResponseSentBehindACrashIsNotTakenForTruncated() {
        updateTable(target("a", 1, false));
        failAttempt("a");
        await(() -> completedProbes.get() == 1);
        listen();
        endWithConnection("a");
        await(() -> completedProbes.get() == 2);
        assertThat(crashed()).containsExactly("a@1", "false");
    }

    @Test
    void testAttemptSentBehindACrashIsNotAttributedToIt() {
        updateTable(target("a", 1, false));
        failAttempt("a");
        await(() -> completedProbes.get() == 1);
        listen();
        failAttempt("a");
        await(() -> completedProbes.get() == 2);
        assertThat(crashed()).containsExactly("a@1");
    }

    @Test
    void testSecondCrashIsAttributedToTheAttemptsSentBehindTheFirst() {
        updateTable(target("a", 1, false));
        failAttempt("a");
        await(() -> completedProbes.get() == 1);
        failAttempt("a");
        await(() -> completedProbes.get() == 2);
        assertThat(crashed()).containsExactly("a@1", "a@1");
    }

    /** The crash may have preceded the request, whose response a target that is back sent. */
    @Test
    void testCrashThatTheDirectoryShowsDoesNotTruncateResponsesInProgress() {
        listen();
        updateTable(target("a", 1, false));
        TargetRun run = TargetRun.current(known("a"));
        updateTable(target("a", 1, false), target("b", 2, false));
        assertThat(run.mayHaveCrashed()).isTrue();
        run(() -> probeBehindAResponse(run));
        await(() -> completedProbes.get() == 1);
        assertThat(crashed()).containsExactly("false");
    }

    private void endWithConnection(String id) {
        run(() -> probeBehindAResponse(id));
    }

    private void probeBehindAResponse(String id) {
        probeBehindAResponse(TargetRun.current(known(id)));
    }

    private void probeBehindAResponse(TargetRun run) {
        detector.endedByClose(
                run,
                () -> SUSPECT,
                result -> {
                    crashed.add(Boolean.toString(result));
                    completedProbes.incrementAndGet();
                });
    }

    private void listen() {
        CallerServer server =
                new CallerServer(thread.loop(), IpAddress.of(address), exchange -> {});
        thread.call(server::start);
    }

    private void failAttempt(String id) {
        failAttempt(TargetRun.current(known(id)));
    }

    private void failAttempt(TargetRun run) {
        run(() -> detector.attemptFailed(run, SUSPECT, completedProbes::incrementAndGet));
    }

    private KnownTarget known(String id) {
        return table.find(id).orElseThrow();
    }

    private List<String> crashed() {
        return thread.call(() -> Promise.of(List.copyOf(crashed)));
    }

    private void updateTable(DirectoryTarget... targets) {
        Map<String, DirectoryTarget> all = new LinkedHashMap<>();
        for (DirectoryTarget each : targets) {
            all.put(each.id(), each);
        }
        run(() -> table.update(all, 0));
    }

    private DirectoryTarget target(String id, long startMillis, boolean draining) {
        return new DirectoryTarget(
                id,
                OptionalLong.of(startMillis),
                "service",
                IpAddress.of(address),
                "x",
                4,
                draining);
    }

    private void run(Runnable action) {
        thread.call(
                () -> {
                    action.run();
                    return Promise.complete();
                });
    }
}
