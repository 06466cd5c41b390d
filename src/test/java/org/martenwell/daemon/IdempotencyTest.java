package org.martenwell.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.uuid.Generators;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.martenwell.demo.DemoFleet;
import org.martenwell.demo.DemoSite;
import org.martenwell.standin.PlatformFaults;

/** Sends requests with idempotency keys to several routers. Each key must run at most once. */
class IdempotencyTest {

    private static DemoFleet fleet;
    private static List<String> routers;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    @BeforeAll
    static void startFleet() {
        fleet = DemoFleet.start(DemoSite.coldChain(), 3);
        routers = fleet.callerAddresses();
    }

    @AfterAll
    static void stopFleet() {
        fleet.stop();
    }

    @Test
    void testConcurrentRepeatsRunOnce() {
        String key = key();
        List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
        for (int index = 0; index < 30; index++) {
            calls.add(sendLock(routers.get(index % 3), "batch-a", key));
        }
        int successes = 0;
        for (CompletableFuture<HttpResponse<String>> call : calls) {
            HttpResponse<String> response = call.join();
            if (response.statusCode() == 200) {
                successes++;
                assertThat(TestCaller.outcome(response)).isEqualTo("ran");
            } else {
                assertThat(TestCaller.code(response)).isEqualTo("claim_in_flight");
                assertThat(TestCaller.outcome(response)).isEqualTo("unknown");
            }
        }
        assertThat(successes).isPositive();
        assertThat(runs("batch-a")).isEqualTo(1);
    }

    @Test
    void testRepeatGetsStoredResponse() {
        String key = key();
        HttpResponse<String> first = sendLock(routers.get(0), "batch-b", key).join();
        HttpResponse<String> repeat = sendLock(routers.get(1), "batch-b", key).join();
        for (int attempt = 0; attempt < 100 && repeat.statusCode() == 409; attempt++) {
            repeat = sendLock(routers.get(1), "batch-b", key).join();
        }
        assertThat(repeat.body()).isEqualTo(first.body());
        assertThat(repeat.headers().firstValue("X-Repeated")).contains("true");
        assertThat(runs("batch-b")).isEqualTo(1);
    }

    @Test
    void testDifferentKeyRunsAgain() {
        sendLock(routers.get(0), "batch-c", key()).join();
        sendLock(routers.get(0), "batch-c", key()).join();
        assertThat(runs("batch-c")).isEqualTo(2);
    }

    @Test
    void testLostResponseOfPlatformIsResolvedByReading() {
        fleet.faults(new PlatformFaults(false, 0, 1));
        HttpResponse<String> response = sendLock(routers.get(2), "batch-d", key()).join();
        fleet.faults(PlatformFaults.NONE);
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(runs("batch-d")).isEqualTo(1);
    }

    @Test
    void testRequestDoesNotRunWhileClaimsAreUnavailable() {
        fleet.faults(new PlatformFaults(true, 0, 0));
        HttpResponse<String> response = sendLock(routers.get(0), "batch-e", key()).join();
        fleet.faults(PlatformFaults.NONE);
        assertThat(TestCaller.code(response)).isEqualTo("claim_unavailable");
        assertThat(TestCaller.outcome(response)).isEqualTo("not-run");
        assertThat(runs("batch-e")).isZero();
    }

    @Test
    void testMalformedKeyIsRejected() {
        HttpResponse<String> response = sendLock(routers.get(0), "batch-f", "yesterday").join();
        assertThat(response.statusCode()).isEqualTo(400);
        assertThat(runs("batch-f")).isZero();
    }

    private static long runs(String batch) {
        return fleet.runs().stream()
                .filter(run -> run.answer().contains("/" + batch + " "))
                .count();
    }

    private static String key() {
        return Generators.timeBasedEpochGenerator().generate().toString();
    }

    private CompletableFuture<HttpResponse<String>> sendLock(
            String router, String batch, String key) {
        URI uri = URI.create("http://" + router + "/services/" + DemoSite.LOCK + "/" + batch);
        return client.sendAsync(
                HttpRequest.newBuilder(uri)
                        .header("Authorization", "Bearer " + DemoSite.key("clinic-0"))
                        .header("Idempotency-Key", key)
                        .POST(HttpRequest.BodyPublishers.ofString("lock"))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }
}
