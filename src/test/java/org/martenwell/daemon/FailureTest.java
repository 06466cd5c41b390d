package org.martenwell.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.martenwell.service.Conditions.await;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.demo.DemoFleet;
import org.martenwell.demo.DemoSite;
import org.martenwell.standin.PlatformFaults;
import org.martenwell.standin.RunRecord;
import org.martenwell.standin.TargetFaults;

/** Injects failures of targets, routers and the platform and checks the responses to callers. */
class FailureTest {

    private static final int ENGINE_COUNT = 8;
    private static final PlatformFaults PLATFORM_DOWN = new PlatformFaults(true, 0, 0);

    private DemoFleet fleet;
    private List<String> routers;

    @BeforeEach
    void startFleet() {
        fleet = DemoFleet.start(DemoSite.coldChain().withTokensPerSecond(500), 3);
        routers = fleet.callerAddresses();
    }

    @AfterEach
    void stopFleet() {
        fleet.stop();
    }

    @Test
    void testBrokenStreamsResumeWithoutLossOrDuplicates() {
        for (int engine = 0; engine < ENGINE_COUNT; engine++) {
            fleet.faults(engine, new TargetFaults(false, false, 3, 4, false));
        }
        List<HttpResponse<String>> responses = sendChats(40);
        Map<String, RunRecord> runs = runsById();
        for (HttpResponse<String> response : responses) {
            assertThat(response.body()).endsWith("data: [DONE]\n\n");
            assertThat(TestCaller.streamedText(response.body()))
                    .isEqualTo(runs.get(TestCaller.requestId(response)).answer());
        }
    }

    @Test
    void testStreamThatCannotResumeEndsWithAnError() {
        for (int engine = 0; engine < ENGINE_COUNT; engine++) {
            fleet.faults(engine, new TargetFaults(false, false, 1, 1_000_000, false));
        }
        HttpResponse<String> response =
                TestCaller.of("clinic-0").chat(routers.get(0), true, "breaks again and again");
        boolean complete = response.body().endsWith("data: [DONE]\n\n");
        assertThat(complete || response.body().contains("stream_broken")).isTrue();
        assertThat(complete && response.body().contains("stream_broken")).isFalse();
    }

    @Test
    void testRefusingTargetsAreAvoided() {
        fleet.faults(0, new TargetFaults(true, false, 0, 0, false));
        fleet.faults(1, new TargetFaults(true, false, 0, 0, false));
        assertThat(sendChats(60))
                .allSatisfy(response -> assertThat(response.statusCode()).isEqualTo(200));
    }

    @Test
    void testDrainingTargetGetsNoNewRequests() {
        fleet.faults(2, new TargetFaults(false, true, 0, 0, false));
        await(() -> sendChats(16).stream().allMatch(response -> response.statusCode() == 200));
        int before = fleet.runsAt(2).size();
        sendChats(60);
        assertThat(fleet.runsAt(2)).hasSize(before);
    }

    @Test
    void testRouterRestartsFromPeersWhilePlatformIsDown() {
        fleet.faults(PLATFORM_DOWN);
        fleet.kill(1);
        fleet.restart(1);
        await(() -> fleet.status(1).ready());
        assertThat(fleet.status(1).configurationVersion()).isEqualTo(1);
        assertThat(TestCaller.of("clinic-0").chat(routers.get(1), true, "x").statusCode())
                .isEqualTo(200);
    }

    @Test
    void testRoutersRestartedTogetherWhilePlatformIsDownAreNotReady() {
        fleet.faults(PLATFORM_DOWN);
        for (int index = 0; index < 3; index++) {
            fleet.kill(index);
        }
        for (int index = 0; index < 3; index++) {
            fleet.restart(index);
        }
        HttpResponse<String> response = TestCaller.of("clinic-0").chat(routers.get(0), true, "x");
        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(TestCaller.code(response)).isEqualTo("not_ready");
        assertThat(TestCaller.outcome(response)).isEqualTo("not-run");
        fleet.faults(PlatformFaults.NONE);
        await(() -> fleet.status(0).ready());
    }

    @Test
    void testOtherRoutersTakeOverTargetsOfFailedRouter() {
        fleet.kill(0);
        await(() -> fleet.status(1).keeps().size() + fleet.status(2).keeps().size() == 11);
        for (int index = 0; index < 20; index++) {
            HttpResponse<String> response =
                    TestCaller.of("clinic-1").chat(routers.get(1 + index % 2), true, "x" + index);
            assertThat(response.statusCode()).isEqualTo(200);
        }
    }

    @Test
    void testRouterPausedUntilItsRemovalRejoins() {
        CompletableFuture<HttpResponse<String>> duringPause =
                TestCaller.of("clinic-2").chatLater(routers.get(1), true, "caught in the pause");
        fleet.pause(1, 5_000);
        await(() -> !fleet.status(0).members().containsKey("router-1"));
        assertThat(TestCaller.of("clinic-1").chat(routers.get(0), true, "x").statusCode())
                .isEqualTo(200);
        await(() -> fleet.status(0).members().containsKey("router-1"));
        await(() -> fleet.status(1).members().size() == 2);
        HttpResponse<String> responseDuringPause = duringPause.join();
        HttpResponse<String> responseAfterPause =
                TestCaller.of("clinic-2").chat(routers.get(1), true, "after");
        Map<String, RunRecord> runs = runsById();
        for (HttpResponse<String> response : List.of(responseDuringPause, responseAfterPause)) {
            RunRecord run = runs.get(TestCaller.requestId(response));
            assertThat(TestCaller.streamedText(response.body())).isEqualTo(run.answer());
            assertThat(run.runs()).isEqualTo(1);
        }
    }

    private List<HttpResponse<String>> sendChats(int count) {
        List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            calls.add(
                    TestCaller.of("clinic-" + index % 7)
                            .chatLater(routers.get(index % 3), true, "prompt " + index));
        }
        return calls.stream().map(CompletableFuture::join).toList();
    }

    private Map<String, RunRecord> runsById() {
        return fleet.runs().stream()
                .collect(Collectors.toMap(RunRecord::requestId, Function.identity()));
    }
}
