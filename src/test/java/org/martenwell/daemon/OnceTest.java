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

/** A request with an idempotency key runs at most once, whichever routers it is sent to. */
class OnceTest {

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
            calls.add(lock(routers.get(index % 3), "batch-a", key));
        }
        int ran = 0;
        for (CompletableFuture<HttpResponse<String>> call : calls) {
            HttpResponse<String> answer = call.join();
            if (answer.statusCode() == 200) {
                ran++;
                assertThat(TestCaller.outcome(answer)).isEqualTo("ran");
            } else {
                assertThat(TestCaller.code(answer)).isEqualTo("claim_in_flight");
                assertThat(TestCaller.outcome(answer)).isEqualTo("unknown");
            }
        }
        assertThat(ran).isPositive();
        assertThat(runs("batch-a")).isEqualTo(1);
    }

    @Test
    void testRepeatGetsTheKeptAnswer() {
        String key = key();
        HttpResponse<String> first = lock(routers.get(0), "batch-b", key).join();
        HttpResponse<String> again = lock(routers.get(1), "batch-b", key).join();
        for (int look = 0; look < 100 && again.statusCode() == 409; look++) {
            again = lock(routers.get(1), "batch-b", key).join();
        }
        assertThat(again.body()).isEqualTo(first.body());
        assertThat(again.headers().firstValue("X-Repeated")).contains("true");
        assertThat(runs("batch-b")).isEqualTo(1);
    }

    @Test
    void testOtherKeyRunsAgain() {
        lock(routers.get(0), "batch-c", key()).join();
        lock(routers.get(0), "batch-c", key()).join();
        assertThat(runs("batch-c")).isEqualTo(2);
    }

    @Test
    void testLostReplyOfThePlatformIsSettledByReading() {
        fleet.faults(new PlatformFaults(false, 0, 1));
        HttpResponse<String> answer = lock(routers.get(2), "batch-d", key()).join();
        fleet.faults(PlatformFaults.NONE);
        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(runs("batch-d")).isEqualTo(1);
    }

    @Test
    void testNothingRunsWithoutAClaim() {
        fleet.faults(new PlatformFaults(true, 0, 0));
        HttpResponse<String> answer = lock(routers.get(0), "batch-e", key()).join();
        fleet.faults(PlatformFaults.NONE);
        assertThat(TestCaller.code(answer)).isEqualTo("claim_unavailable");
        assertThat(TestCaller.outcome(answer)).isEqualTo("not-run");
        assertThat(runs("batch-e")).isZero();
    }

    @Test
    void testKeyThatIsNoneIsRefused() {
        HttpResponse<String> answer = lock(routers.get(0), "batch-f", "yesterday").join();
        assertThat(answer.statusCode()).isEqualTo(400);
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

    private CompletableFuture<HttpResponse<String>> lock(String router, String batch, String key) {
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
