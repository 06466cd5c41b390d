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
import org.martenwell.service.IpAddress;
import org.martenwell.service.LoopThread;
import org.martenwell.service.LoopbackPorts;

class TargetCrashDetectorTest {

    private static final SuspectRequest SUSPECT =
            new SuspectRequest(
                    new Fingerprint(1, 2), new RequestSummary("GET", "h", "/", "clinic"));

    private final LoopThread thread = LoopThread.start("target-ends");

    private final String address = LoopbackPorts.free(1).get(0);

    private final List<String> ended = new ArrayList<>();

    private final AtomicInteger verdicts = new AtomicInteger();

    private final TargetCrashDetector ends =
            new TargetCrashDetector(thread.loop(), (suspect, life) -> ended.add(life));

    private final TargetTable table = new TargetTable(thread.loop(), new EndedTargets(ends::ended));

    @AfterEach
    void stop() {
        thread.stop();
    }

    @Test
    void testTargetThatRefusesConnectionsHasEnded() {
        tell(target("a", 1, false));
        breakOff("a");
        await(() -> verdicts.get() == 1);
        assertThat(ended()).containsExactly("a@1");
    }

    @Test
    void testTargetThatTakesConnectionsHasNot() {
        listen();
        tell(target("a", 1, false));
        breakOff("a");
        await(() -> verdicts.get() == 1);
        assertThat(ended()).isEmpty();
    }

    /** A gateway that was frozen meanwhile reaches the next life at the same address. */
    @Test
    void testTargetThatStartedAgainHasEndedThoughItTakesConnections() {
        listen();
        tell(target("a", 1, false));
        breakOff("a");
        await(() -> verdicts.get() == 1);
        tell(target("a", 2, false));
        assertThat(ended()).containsExactly("a@1");
    }

    @Test
    void testTargetHasEndedWhoseAddressAnotherOneTook() {
        listen();
        tell(target("a", 1, false));
        breakOff("a");
        await(() -> verdicts.get() == 1);
        tell(target("a", 1, false), target("b", 2, false));
        assertThat(ended()).containsExactly("a@1");
    }

    /** Its end was planned, and what ran on it to the last did not cause it. */
    @Test
    void testTargetThatLeftEndedByNobodysDoing() {
        listen();
        tell(target("a", 1, false));
        breakOff("a");
        await(() -> verdicts.get() == 1);
        tell(target("a", 1, true));
        tell();
        assertThat(ended()).isEmpty();
    }

    @Test
    void testAttemptThatWasGivenUpCountsIfItsTargetEndsAtOnce() {
        tell(target("a", 1, false));
        run(() -> ends.givenUp(known("a"), SUSPECT));
        breakOff("a");
        await(() -> verdicts.get() == 1);
        assertThat(ended()).containsExactly("a@1", "a@1");
    }

    private void listen() {
        CallerServer server =
                new CallerServer(thread.loop(), IpAddress.of(address), exchange -> {});
        thread.call(server::start);
    }

    private void breakOff(String id) {
        run(() -> ends.broken(known(id), SUSPECT, verdicts::incrementAndGet));
    }

    private KnownTarget known(String id) {
        return table.find(id).orElseThrow();
    }

    private List<String> ended() {
        return thread.call(() -> Promise.of(List.copyOf(ended)));
    }

    private void tell(DirectoryTarget... targets) {
        Map<String, DirectoryTarget> all = new LinkedHashMap<>();
        for (DirectoryTarget each : targets) {
            all.put(each.id(), each);
        }
        run(() -> table.update(all));
    }

    private DirectoryTarget target(String id, long bornMillis, boolean leaving) {
        return new DirectoryTarget(
                id, OptionalLong.of(bornMillis), "service", IpAddress.of(address), "x", 4, leaving);
    }

    private void run(Runnable action) {
        thread.call(
                () -> {
                    action.run();
                    return Promise.complete();
                });
    }
}
