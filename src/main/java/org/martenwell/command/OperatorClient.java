package org.martenwell.command;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.http.AsyncHttpClient;
import org.martenwell.http.BufferedHttpResponse;
import org.martenwell.http.HeaderField;
import org.martenwell.json.Json;
import org.martenwell.service.EventLoopThread;

/** Calls a router's operators' port. */
final class OperatorClient {

    /** The largest answer, in bytes. */
    private static final int MAX_BODY_BYTES = 8 << 20;

    /** How long a call may take, in milliseconds; a drain takes the longest. */
    private static final long TIMEOUT_MILLIS = 600_000;

    /** The router's address for operators. */
    private final String address;

    /**
     * Creates a client.
     *
     * @param address The router's address for operators.
     */
    OperatorClient(String address) {
        this.address = address;
    }

    /**
     * Reads something.
     *
     * @param path The path.
     * @return The answer, which is a success.
     */
    BufferedHttpResponse get(String path) {
        return call(HttpMethod.GET, path, List.of(), new byte[0]);
    }

    /**
     * Changes something.
     *
     * @param method The method.
     * @param path The path.
     * @param token The operators' token.
     * @param headers More header fields.
     * @param body The body.
     * @return The answer, which is a success.
     */
    BufferedHttpResponse change(
            HttpMethod method, String path, String token, List<HeaderField> headers, byte[] body) {
        List<HeaderField> all = new ArrayList<>(headers);
        all.add(new HeaderField("Authorization", "Bearer " + token));
        return call(method, path, all, body);
    }

    /**
     * Makes a call.
     *
     * @param method The method.
     * @param path The path.
     * @param headers The header fields.
     * @param body The body.
     * @return The answer, which is a success.
     */
    private BufferedHttpResponse call(
            HttpMethod method, String path, List<HeaderField> headers, byte[] body) {
        EventLoopThread loop = EventLoopThread.start("operator-client");
        try {
            BufferedHttpResponse answer =
                    loop.call(
                            () ->
                                    AsyncHttpClient.pooled(loop.loop(), MAX_BODY_BYTES)
                                            .exchange(
                                                    method,
                                                    "http://" + address + path,
                                                    headers,
                                                    body,
                                                    TIMEOUT_MILLIS));
            if (answer.status() >= 300) {
                throw failure(answer);
            }
            return answer;
        } finally {
            loop.stop();
        }
    }

    /**
     * Reads the error of an answer.
     *
     * @param answer The answer.
     * @return The exception with its kind.
     */
    private static MartenwellException failure(BufferedHttpResponse answer) {
        String text = new String(answer.body(), StandardCharsets.UTF_8);
        try {
            JsonNode error = Json.read(answer.body()).path("error");
            ErrorKind kind =
                    Arrays.stream(ErrorKind.values())
                            .filter(each -> each.code().equals(error.path("code").asText()))
                            .findFirst()
                            .orElse(ErrorKind.INTERNAL);
            return MartenwellException.of(kind, error.path("message").asText());
        } catch (MartenwellException notJson) {
            return MartenwellException.of(
                    ErrorKind.INTERNAL, "The router answered " + answer.status() + ": " + text);
        }
    }
}
