package org.martenwell.command;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.exchange.FieldValue;
import org.martenwell.http.AsyncHttpClient;
import org.martenwell.http.BufferedHttpResponse;
import org.martenwell.http.HeaderField;
import org.martenwell.json.Json;
import org.martenwell.service.EventLoopThread;

/** A blocking client of a router's HTTP interface for operators. */
final class OperatorClient {

    /** The largest accepted response body, in bytes. */
    private static final int MAX_BODY_BYTES = 8 << 20;

    /** The timeout of a call, in milliseconds, long enough for a drain. */
    private static final long TIMEOUT_MILLIS = 600_000;

    private final String address;

    /**
     * Creates a client.
     *
     * @param address The IP address and port of the router's interface for operators.
     */
    OperatorClient(String address) {
        this.address = address;
    }

    /**
     * Sends a GET request without a token. Throws an exception if it fails.
     *
     * @param path The path.
     * @return The response, with a status below 300.
     */
    BufferedHttpResponse get(String path) {
        return call(HttpMethod.GET, path, List.of(), new byte[0]);
    }

    /**
     * Sends a request that changes the router. Throws an exception if it fails.
     *
     * @param method The method.
     * @param path The path.
     * @param token The operators' token.
     * @param headers Additional header fields.
     * @param body The body.
     * @return The response, with a status below 300.
     */
    BufferedHttpResponse change(
            HttpMethod method, String path, String token, List<HeaderField> headers, byte[] body) {
        List<HeaderField> all = new ArrayList<>(headers);
        all.add(new HeaderField("Authorization", "Bearer " + headerValue(token)));
        return call(method, path, all, body);
    }

    private static String headerValue(String token) {
        return FieldValue.of(token)
                .orElseThrow(
                        () ->
                                MartenwellException.of(
                                        ErrorKind.USAGE, "No header can carry the token."));
    }

    private BufferedHttpResponse call(
            HttpMethod method, String path, List<HeaderField> headers, byte[] body) {
        EventLoopThread loop = EventLoopThread.start("operator-client");
        try {
            BufferedHttpResponse response =
                    loop.call(
                            () ->
                                    AsyncHttpClient.pooled(
                                                    loop.loop(),
                                                    loop.loop()::currentTimeMillis,
                                                    MAX_BODY_BYTES)
                                            .exchange(
                                                    method,
                                                    "http://" + address + path,
                                                    headers,
                                                    body,
                                                    TIMEOUT_MILLIS));
            if (response.status() >= 300) {
                throw toException(response);
            }
            return response;
        } finally {
            loop.stop();
        }
    }

    /**
     * Converts an error response to an exception of the same kind.
     *
     * @param response The response.
     * @return The exception.
     */
    private static MartenwellException toException(BufferedHttpResponse response) {
        String text = new String(response.body(), StandardCharsets.UTF_8);
        try {
            JsonNode error = Json.read(response.body()).path("error");
            ErrorKind kind =
                    Arrays.stream(ErrorKind.values())
                            .filter(each -> each.code().equals(error.path("code").asText()))
                            .findFirst()
                            .orElse(ErrorKind.INTERNAL);
            return MartenwellException.of(kind, error.path("message").asText());
        } catch (MartenwellException notJson) {
            return MartenwellException.of(
                    ErrorKind.INTERNAL,
                    "The router responded with status " + response.status() + ": " + text);
        }
    }
}
