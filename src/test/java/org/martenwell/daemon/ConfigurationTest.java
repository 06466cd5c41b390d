package org.martenwell.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.martenwell.demo.DemoFleet;
import org.martenwell.demo.DemoSite;
import org.martenwell.operator.OperatorServlet;
import org.martenwell.standin.PlatformFaults;

/**
 * Changes the configuration over HTTP: concurrent changes, a router that is down and an unreliable
 * platform.
 */
class ConfigurationTest {

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private DemoFleet fleet;

    @BeforeEach
    void startFleet() {
        fleet = DemoFleet.start(DemoSite.coldChain(), 3);
    }

    @AfterEach
    void stopFleet() {
        fleet.stop();
    }

    @Test
    void testAcceptedChangeIsActiveOnAllRouters() {
        HttpResponse<String> response = apply(0, withPolicy("refuse('closed')"), 1).join();
        long version = TestCaller.json(response.body()).path("version").asLong();
        assertThat(TestCaller.json(response.body()).path("state").asText()).isEqualTo("accepted");
        for (int router = 0; router < 3; router++) {
            assertThat(fleet.status(router).configurationVersion()).isEqualTo(version);
            HttpResponse<String> rejected =
                    TestCaller.of("clinic-0").chat(fleet.callerAddresses().get(router), true, "x");
            assertThat(TestCaller.code(rejected)).isEqualTo("policy_refused");
        }
    }

    @Test
    void testOneOfConcurrentChangesIsAccepted() {
        for (int round = 0; round < 5; round++) {
            long base = fleet.status(0).configurationVersion();
            List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
            for (int router = 0; router < 3; router++) {
                calls.add(apply(router, withPolicy("allow(" + router + ")"), base));
            }
            List<Integer> statuses =
                    calls.stream().map(call -> call.join().statusCode()).sorted().toList();
            assertThat(statuses).containsExactly(200, 409, 409);
        }
    }

    @Test
    void testLostResponseOfPlatformIsResolvedByReading() {
        fleet.faults(new PlatformFaults(false, 0, 1));
        HttpResponse<String> response = apply(1, withPolicy("allow(2)"), 1).join();
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(TestCaller.json(response.body()).path("version").asLong()).isGreaterThan(1);
    }

    @Test
    void testInvalidConfigurationIsNotStored() {
        HttpResponse<String> response = apply(0, withPolicy("alow(2)"), 1).join();
        assertThat(response.statusCode()).isEqualTo(422);
        assertThat(TestCaller.code(response)).isEqualTo("invalid_document");
        assertThat(fleet.status(0).configurationVersion()).isEqualTo(1);
    }

    @Test
    void testChangeIsPendingWhileARouterIsDown() {
        fleet.kill(2);
        HttpResponse<String> response = apply(0, withPolicy("allow(3)"), 1).join();
        assertThat(TestCaller.json(response.body()).path("state").asText()).isEqualTo("pending");
        assertThat(TestCaller.json(response.body()).path("missing").has("router-2")).isTrue();
    }

    @Test
    void testChangeFailsWhilePlatformIsUnavailable() {
        fleet.faults(new PlatformFaults(true, 0, 0));
        HttpResponse<String> response = apply(0, withPolicy("allow(3)"), 1).join();
        assertThat(TestCaller.code(response)).isEqualTo("platform_unavailable");
        assertThat(fleet.status(0).configurationVersion()).isEqualTo(1);
    }

    /** The active configuration with another policy. */
    private String withPolicy(String program) {
        return read(0).replaceAll("\"program\" : \"[^\"]*\"", "\"program\" : \"" + program + "\"");
    }

    private String read(int router) {
        return client.sendAsync(request(router).GET().build(), HttpResponse.BodyHandlers.ofString())
                .join()
                .body();
    }

    private CompletableFuture<HttpResponse<String>> apply(int router, String text, long base) {
        return client.sendAsync(
                request(router)
                        .header("Authorization", "Bearer " + DemoFleet.TOKEN)
                        .header(OperatorServlet.BASE_VERSION, Long.toString(base))
                        .PUT(HttpRequest.BodyPublishers.ofString(text))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest.Builder request(int router) {
        String address = fleet.routerSettings().get(router).operatorAddress();
        return HttpRequest.newBuilder(URI.create("http://" + address + "/configuration"));
    }
}
