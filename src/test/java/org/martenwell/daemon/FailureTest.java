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

/** Produces failures of targets, routers and the platform through real sockets. */
class FailureTest {

    private static final int ENGINES = 8;
    private static final PlatformFaults DOWN = new PlatformFaults(true, 0, 0);

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
    void testBrokenStreamsGoOnEachPieceOnceAndInOrder() {
        for (int engine = 0; engine < ENGINES; engine++) {
            fleet.faults(engine, new TargetFaults(false, false, 3, 4, false));
        }
        List<HttpResponse<String>> answers = ask(40);
        Map<String, RunRecord> ran = runsById();
        for (HttpResponse<String> answer : answers) {
            assertThat(answer.body()).endsWith("data: [DONE]\n\n");
            assertThat(TestCaller.streamedText(answer.body()))
                    .isEqualTo(ran.get(TestCaller.requestId(answer)).answer());
        }
    }

    @Test
    void testStreamThatCannotGoOnEndsWithAnError() {
        for (int engine = 0; engine < ENGINES; engine++) {
            fleet.faults(engine, new TargetFaults(false, false, 1, 1_000_000, false));
        }
        HttpResponse<String> answer =
                TestCaller.of("clinic-0").chat(routers.get(0), true, "breaks again and again");
        boolean whole = answer.body().endsWith("data: [DONE]\n\n");
        assertThat(whole || answer.body().contains("stream_broken")).isTrue();
        assertThat(whole && answer.body().contains("stream_broken")).isFalse();
    }

    @Test
    void testTargetsThatRefuseAreAvoided() {
        fleet.faults(0, new TargetFaults(true, false, 0, 0, false));
        fleet.faults(1, new TargetFaults(true, false, 0, 0, false));
        assertThat(ask(60)).allSatisfy(answer -> assertThat(answer.statusCode()).isEqualTo(200));
    }

    @Test
    void testLeavingTargetGetsNoNewWork() {
        fleet.faults(2, new TargetFaults(false, true, 0, 0, false));
        await(() -> ask(16).stream().allMatch(answer -> answer.statusCode() == 200));
        int before = fleet.runsAt(2).size();
        ask(60);
        assertThat(fleet.runsAt(2)).hasSize(before);
    }

    @Test
    void testRouterRestartsWhileThePlatformIsDown() {
        fleet.faults(DOWN);
        fleet.kill(1);
        fleet.restart(1);
        await(() -> fleet.status(1).ready());
        assertThat(fleet.status(1).configurationVersion()).isEqualTo(1);
        assertThat(TestCaller.of("clinic-0").chat(routers.get(1), true, "x").statusCode())
                .isEqualTo(200);
    }

    @Test
    void testAllRoutersRestartedWhileThePlatformIsDownAreNotReady() {
        fleet.faults(DOWN);
        for (int index = 0; index < 3; index++) {
            fleet.kill(index);
        }
        for (int index = 0; index < 3; index++) {
            fleet.restart(index);
        }
        HttpResponse<String> answer = TestCaller.of("clinic-0").chat(routers.get(0), true, "x");
        assertThat(answer.statusCode()).isEqualTo(503);
        assertThat(TestCaller.code(answer)).isEqualTo("not_ready");
        assertThat(TestCaller.outcome(answer)).isEqualTo("not-run");
        fleet.faults(PlatformFaults.NONE);
        await(() -> fleet.status(0).ready());
    }

    @Test
    void testOthersTakeOverTheTargetsOfARouterThatFailed() {
        fleet.kill(0);
        await(() -> fleet.status(1).keeps().size() + fleet.status(2).keeps().size() == 11);
        for (int index = 0; index < 20; index++) {
            HttpResponse<String> answer =
                    TestCaller.of("clinic-1").chat(routers.get(1 + index % 2), true, "x" + index);
            assertThat(answer.statusCode()).isEqualTo(200);
        }
    }

    @Test
    void testRouterPausedPastItsRemovalRejoinsAndAnswers() {
        CompletableFuture<HttpResponse<String>> caught =
                TestCaller.of("clinic-2").chatLater(routers.get(1), true, "caught in the pause");
        fleet.pause(1, 5_000);
        await(() -> !fleet.status(0).members().containsKey("router-1"));
        assertThat(TestCaller.of("clinic-1").chat(routers.get(0), true, "x").statusCode())
                .isEqualTo(200);
        await(() -> fleet.status(0).members().containsKey("router-1"));
        await(() -> fleet.status(1).members().size() == 2);
        HttpResponse<String> late = caught.join();
        HttpResponse<String> after = TestCaller.of("clinic-2").chat(routers.get(1), true, "after");
        Map<String, RunRecord> ran = runsById();
        for (HttpResponse<String> answer : List.of(late, after)) {
            RunRecord run = ran.get(TestCaller.requestId(answer));
            assertThat(TestCaller.streamedText(answer.body())).isEqualTo(run.answer());
            assertThat(run.runs()).isEqualTo(1);
        }
    }

    private List<HttpResponse<String>> ask(int count) {
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
