package org.martenwell.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.csp.consumer.ChannelConsumers;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.IntConsumer;
import org.martenwell.error.MartenwellException;
import org.martenwell.exchange.FieldValue;
import org.martenwell.http.AsyncHttpClient;
import org.martenwell.http.HeaderField;
import org.martenwell.http.StreamedHttpResponse;
import org.martenwell.json.Json;

/** A caller that sends requests to routers and verifies the responses. */
final class LoadClient {

    private static final int MAX_BODY_BYTES = 16 << 20;

    private static final long NANOS_PER_MICRO = 1_000;

    /** The time until a response must begin, longer than any request may wait, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 600_000;

    private final AsyncHttpClient client;

    /**
     * Creates a client.
     *
     * @param reactor The event loop.
     */
    LoadClient(NioReactor reactor) {
        this.client = AsyncHttpClient.pooled(reactor, reactor::currentTimeMillis, MAX_BODY_BYTES);
    }

    /**
     * Sends a chat completion request and reads its stream.
     *
     * @param load The load that the request belongs to.
     * @param router The address of the router.
     * @param prompt The prompt.
     * @param totals Records the result.
     * @param delivered Receives the number of tokens in each part of the stream.
     * @return Completes at the end of the request, also if it failed.
     */
    Promise<Void> sendChat(
            OrganisationLoad load,
            String router,
            String prompt,
            LoadTotals totals,
            IntConsumer delivered) {
        ChatRequest chat =
                new ChatRequest(load.model(), true, List.of(new CompletionMessage("user", prompt)));
        long sentAt = System.nanoTime();
        totals.sent();
        return client.send(
                        HttpMethod.POST,
                        "http://" + router + "/v1/chat/completions",
                        headers(load),
                        Json.write(chat),
                        TIMEOUT_MILLIS)
                .then(
                        response ->
                                response.status() == 200
                                        ? readStream(response, sentAt, totals, delivered)
                                        : readErrorResponse(response, totals))
                .then(Promise::of, exception -> recordConnectionFailure(exception, totals));
    }

    /**
     * Sends a request to a plain service.
     *
     * @param load The load that the request belongs to.
     * @param router The address of the router.
     * @param service The name of the service.
     * @param totals Records the result.
     * @return Completes at the end of the request, also if it failed.
     */
    Promise<Void> sendServiceRequest(
            OrganisationLoad load, String router, String service, LoadTotals totals) {
        totals.sent();
        return client.send(
                        HttpMethod.GET,
                        "http://" + router + "/services/" + service + "/status?unit=7",
                        headers(load),
                        new byte[0],
                        TIMEOUT_MILLIS)
                .then(
                        response -> {
                            if (response.status() != 200) {
                                return readErrorResponse(response, totals);
                            }
                            return client.readWhole(response)
                                    .map(
                                            read -> {
                                                totals.completed();
                                                return (Void) null;
                                            });
                        })
                .then(Promise::of, exception -> recordConnectionFailure(exception, totals));
    }

    private Promise<Void> readStream(
            StreamedHttpResponse response, long sentAt, LoadTotals totals, IntConsumer delivered) {
        StreamVerifier verifier = new StreamVerifier();
        return response.body()
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
                .whenResult(() -> recordStreamEnd(verifier, totals));
    }

    /** Records the result of a finished stream. */
    private static void recordStreamEnd(StreamVerifier verifier, LoadTotals totals) {
        if (verifier.complete()) {
            totals.completed();
        } else if (!verifier.error().isEmpty() && !verifier.isWrong()) {
            totals.refused(verifier.error());
        } else {
            totals.wrong();
        }
    }

    /** Reads an error response and records its code. */
    private Promise<Void> readErrorResponse(StreamedHttpResponse response, LoadTotals totals) {
        return client.readWhole(response)
                .map(
                        read -> {
                            String text = new String(read.body(), StandardCharsets.UTF_8);
                            totals.refused(errorCode(text, read.status()));
                            return null;
                        });
    }

    /** Returns the code in an error response, or one made of the HTTP status if there is none. */
    private static String errorCode(String body, int status) {
        try {
            JsonNode root = Json.read(body.getBytes(StandardCharsets.UTF_8));
            return root.path("error").path("code").asText("status_" + status);
        } catch (MartenwellException notJson) {
            return "status_" + status;
        }
    }

    private static Promise<Void> recordConnectionFailure(Exception exception, LoadTotals totals) {
        totals.refused("connection_" + exception.getClass().getSimpleName());
        return Promise.complete();
    }

    private static List<HeaderField> headers(OrganisationLoad load) {
        return List.of(
                new HeaderField("Authorization", "Bearer " + FieldValue.of(load.key()).orElse("")),
                new HeaderField("Content-Type", "application/json"));
    }
}
