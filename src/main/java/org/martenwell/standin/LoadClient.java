package org.martenwell.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.csp.consumer.ChannelConsumers;
import io.activej.http.HttpMethod;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.IntConsumer;
import org.martenwell.error.MartenwellException;
import org.martenwell.http.HeaderField;
import org.martenwell.http.HttpCalls;
import org.martenwell.json.Json;

/** Sends one request after the other to routers, as a caller, and checks the answers. */
final class LoadClient {

    /** The largest answer, in bytes. */
    private static final int MAX_BODY_BYTES = 16 << 20;

    /** How many nanoseconds make a microsecond. */
    private static final long NANOS_PER_MICRO = 1_000;

    /** Sends requests. */
    private final HttpCalls calls;

    /**
     * Creates a client.
     *
     * @param reactor The loop.
     */
    LoadClient(NioReactor reactor) {
        this.calls = HttpCalls.pooled(reactor, MAX_BODY_BYTES);
    }

    /**
     * Asks a model and reads the stream.
     *
     * @param load Whose request it is.
     * @param router The router's address.
     * @param prompt The prompt.
     * @param totals Receives what became of it.
     * @param delivered Receives the number of tokens whenever some arrive.
     * @return Completes at the end, whatever became of it.
     */
    Promise<Void> askModel(
            OrganisationLoad load,
            String router,
            String prompt,
            LoadTotals totals,
            IntConsumer delivered) {
        ChatRequest chat =
                new ChatRequest(load.model(), true, List.of(new CompletionMessage("user", prompt)));
        long sentAt = System.nanoTime();
        totals.sent();
        return calls.send(
                        HttpCalls.request(
                                HttpMethod.POST,
                                "http://" + router + "/v1/chat/completions",
                                headers(load),
                                Json.write(chat)))
                .then(
                        response ->
                                response.getCode() == 200
                                        ? readStream(response, sentAt, totals, delivered)
                                        : readRefusal(response, totals))
                .then(Promise::of, exception -> failed(exception, totals));
    }

    /**
     * Asks a plain service.
     *
     * @param load Whose request it is.
     * @param router The router's address.
     * @param service The service.
     * @param totals Receives what became of it.
     * @return Completes at the end, whatever became of it.
     */
    Promise<Void> askService(
            OrganisationLoad load, String router, String service, LoadTotals totals) {
        totals.sent();
        return calls.send(
                        HttpCalls.request(
                                HttpMethod.GET,
                                "http://" + router + "/services/" + service + "/status?unit=7",
                                headers(load),
                                new byte[0]))
                .then(
                        response -> {
                            if (response.getCode() != 200) {
                                return readRefusal(response, totals);
                            }
                            return response.loadBody()
                                    .map(
                                            body -> {
                                                totals.completed();
                                                return (Void) null;
                                            });
                        })
                .then(Promise::of, exception -> failed(exception, totals));
    }

    /**
     * Reads a stream to its end.
     *
     * @param response The response.
     * @param sentAt When the request was sent, in nanoseconds of the system's timer.
     * @param totals Receives what became of it.
     * @param delivered Receives the number of tokens whenever some arrive.
     * @return Completes at the end.
     */
    private Promise<Void> readStream(
            HttpResponse response, long sentAt, LoadTotals totals, IntConsumer delivered) {
        StreamVerifier verifier = new StreamVerifier();
        return response.takeBodyStream()
                .streamTo(
                        ChannelConsumers.ofConsumer(
                                buffer -> {
                                    boolean first = verifier.text().isEmpty();
                                    int count = verifier.receive(buffer.asArray());
                                    totals.tokens(count);
                                    delivered.accept(count);
                                    if (first && count > 0) {
                                        long nanos = System.nanoTime() - sentAt;
                                        totals.firstToken(nanos / NANOS_PER_MICRO);
                                    }
                                }))
                .whenResult(() -> finish(verifier, totals));
    }

    /**
     * Counts a stream that ended.
     *
     * @param verifier What was read.
     * @param totals Receives what became of it.
     */
    private static void finish(StreamVerifier verifier, LoadTotals totals) {
        if (verifier.complete()) {
            totals.completed();
        } else if (!verifier.error().isEmpty() && !verifier.isWrong()) {
            totals.refused(verifier.error());
        } else {
            totals.wrong();
        }
    }

    /**
     * Reads a refusal.
     *
     * @param response The response.
     * @param totals Receives what became of it.
     * @return Completes at the end.
     */
    private static Promise<Void> readRefusal(HttpResponse response, LoadTotals totals) {
        int status = response.getCode();
        return response.loadBody()
                .map(
                        body -> {
                            totals.refused(code(body.getString(StandardCharsets.UTF_8), status));
                            return null;
                        });
    }

    /**
     * Reads the code of an error.
     *
     * @param body The error's body.
     * @param status The status.
     * @return The code, or the status if there is none.
     */
    private static String code(String body, int status) {
        try {
            JsonNode root = Json.read(body.getBytes(StandardCharsets.UTF_8));
            return root.path("error").path("code").asText("status_" + status);
        } catch (MartenwellException notJson) {
            return "status_" + status;
        }
    }

    /**
     * Counts a request whose connection failed.
     *
     * @param exception Why.
     * @param totals Receives what became of it.
     * @return Completes at once.
     */
    private static Promise<Void> failed(Exception exception, LoadTotals totals) {
        totals.refused("connection_" + exception.getClass().getSimpleName());
        return Promise.complete();
    }

    /**
     * Builds the header fields of a request.
     *
     * @param load Whose request it is.
     * @return The fields.
     */
    private static List<HeaderField> headers(OrganisationLoad load) {
        return List.of(
                new HeaderField("Authorization", "Bearer " + load.key()),
                new HeaderField("Content-Type", "application/json"));
    }
}
