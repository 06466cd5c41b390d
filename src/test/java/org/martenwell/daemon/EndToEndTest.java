package org.martenwell.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.martenwell.demo.DemoFleet;
import org.martenwell.demo.DemoSite;
import org.martenwell.standin.RunRecord;

/**
 * Sends valid requests through three routers to stand-in targets and compares the responses with
 * what the targets generated.
 */
class EndToEndTest {

    private static DemoFleet fleet;
    private static List<String> routers;

    @BeforeAll
    static void startFleet() {
        fleet = DemoFleet.start(DemoSite.coldChain().withTokensPerSecond(500), 3);
        routers = fleet.callerAddresses();
    }

    @AfterAll
    static void stopFleet() {
        fleet.stop();
    }

    @Test
    void testStreamsMatchGeneratedText() {
        List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
        for (int index = 0; index < 150; index++) {
            TestCaller caller = TestCaller.of(index % 2 == 0 ? "clinic-0" : "district-east");
            calls.add(caller.chatLater(routers.get(index % 3), true, "prompt " + index));
        }
        Map<String, String> received =
                calls.stream()
                        .map(CompletableFuture::join)
                        .collect(
                                Collectors.toMap(
                                        TestCaller::requestId,
                                        response -> TestCaller.streamedText(response.body())));
        Map<String, RunRecord> runs = runsById();
        assertThat(received).hasSize(150);
        received.forEach((id, text) -> assertThat(text).isEqualTo(runs.get(id).answer()));
        received.keySet().forEach(id -> assertThat(runs.get(id).runs()).isEqualTo(1));
    }

    @Test
    void testUnstreamedResponseMatchesGeneratedText() {
        HttpResponse<String> response =
                TestCaller.of("clinic-1").chat(routers.get(0), false, "whole");
        String text =
                TestCaller.json(response.body())
                        .path("choices")
                        .path(0)
                        .path("message")
                        .path("content")
                        .asText();
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(TestCaller.outcome(response)).isEqualTo("ran");
        assertThat(text).isEqualTo(runsById().get(TestCaller.requestId(response)).answer());
    }

    @Test
    void testStreamEndsWithDoneEvent() {
        HttpResponse<String> response = TestCaller.of("clinic-1").chat(routers.get(1), true, "end");
        assertThat(response.body()).endsWith("data: [DONE]\n\n");
    }

    @Test
    void testServiceReceivesPathQueryAndMethod() {
        HttpResponse<String> response =
                TestCaller.of("clinic-2").get(routers.get(2), "/services/alarms/units/7?all=1");
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).contains("GET /units/7?all=1 0 bytes");
        assertThat(TestCaller.outcome(response)).isEqualTo("ran");
    }

    @Test
    void testModelsAreListed() {
        HttpResponse<String> response = TestCaller.of("clinic-2").get(routers.get(0), "/v1/models");
        assertThat(TestCaller.json(response.body()).path("data").path(0).path("id").asText())
                .isEqualTo(DemoSite.MODEL);
    }

    private static Map<String, RunRecord> runsById() {
        return fleet.runs().stream()
                .collect(Collectors.toMap(RunRecord::requestId, Function.identity()));
    }
}
