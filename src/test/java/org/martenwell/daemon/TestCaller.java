package org.martenwell.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.martenwell.demo.DemoSite;
import org.martenwell.json.Json;

/** A caller that uses the JDK's HTTP client, independent of the router's own client. */
final class TestCaller {

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String key;

    TestCaller(String key) {
        this.key = key;
    }

    static TestCaller of(String organisation) {
        return new TestCaller(DemoSite.key(organisation));
    }

    HttpResponse<String> chat(String router, boolean stream, String prompt) {
        return chatLater(router, stream, prompt).join();
    }

    CompletableFuture<HttpResponse<String>> chatLater(
            String router, boolean stream, String prompt) {
        String body =
                "{\"model\":\""
                        + DemoSite.MODEL
                        + "\",\"stream\":"
                        + stream
                        + ",\"messages\":[{\"role\":\"user\",\"content\":\""
                        + prompt
                        + "\"}]}";
        return client.sendAsync(
                request(router, "/v1/chat/completions")
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> post(String router, String path, byte[] body) {
        return send(
                request(router, path).POST(HttpRequest.BodyPublishers.ofByteArray(body)).build());
    }

    HttpResponse<String> get(String router, String path) {
        return send(request(router, path).GET().build());
    }

    private HttpResponse<String> send(HttpRequest request) {
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException | InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private HttpRequest.Builder request(String router, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + router + path))
                .header("Authorization", "Bearer " + key)
                .header("Content-Type", "application/json");
    }

    static String requestId(HttpResponse<String> response) {
        return response.headers().firstValue("X-Request-Id").orElseThrow();
    }

    static String outcome(HttpResponse<String> response) {
        return response.headers().firstValue("X-Outcome").orElseThrow();
    }

    /** The code of an error response. */
    static String code(HttpResponse<String> response) {
        return json(response.body()).path("error").path("code").asText();
    }

    /** The concatenated text of a streamed response. */
    static String streamedText(String body) {
        return body.lines()
                .filter(line -> line.startsWith("data: {"))
                .map(line -> json(line.substring("data: ".length())))
                .map(root -> root.path("choices").path(0).path("delta").path("content").asText())
                .collect(Collectors.joining());
    }

    static JsonNode json(String text) {
        return Json.read(text.getBytes(StandardCharsets.UTF_8));
    }
}
