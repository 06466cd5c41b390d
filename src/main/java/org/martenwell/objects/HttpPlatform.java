package org.martenwell.objects;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.HttpMethod;
import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.error.Outcome;
import org.martenwell.http.AsyncHttpClient;
import org.martenwell.http.BufferedHttpResponse;
import org.martenwell.http.HeaderField;
import org.martenwell.http.HeaderFields;
import org.martenwell.json.Json;
import org.martenwell.json.JsonDocuments;

/**
 * The platform over HTTP: {@code /objects/KIND/NAME} with entity tags for versions (RFC 9110,
 * section 13), long polling for watches, and {@code /boxes}.
 */
public final class HttpPlatform implements Platform {

    /** How long a call other than a watch may take, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 2_000;

    /** The body of a request without one. */
    private static final byte[] NO_BODY = {};

    /** Sends requests. */
    private final AsyncHttpClient calls;

    /** The start of every URL. */
    private final String base;

    /** The calls made. */
    private long count;

    /**
     * Creates an adapter.
     *
     * @param calls Sends requests.
     * @param address The platform's address.
     */
    public HttpPlatform(AsyncHttpClient calls, String address) {
        this.calls = calls;
        this.base = "http://" + address;
    }

    @Override
    public Promise<Optional<StoredObject>> read(String kind, String name) {
        return call(HttpMethod.GET, path(kind, name), List.of(), NO_BODY, TIMEOUT_MILLIS)
                .map(
                        answer ->
                                answer.status() == 404
                                        ? Optional.empty()
                                        : Optional.of(object(kind, name, answer, answer.body())));
    }

    @Override
    public Promise<StoredObject> create(String kind, String name, byte[] value) {
        return write(kind, name, value, new HeaderField("If-None-Match", "*"));
    }

    @Override
    public Promise<StoredObject> update(String kind, String name, byte[] value, long version) {
        return write(kind, name, value, new HeaderField("If-Match", "\"" + version + "\""));
    }

    @Override
    public Promise<List<StoredObject>> watch(String kind, long after, long waitMillis) {
        String path = "/objects/" + kind + "?after=" + after + "&waitMillis=" + waitMillis;
        return call(HttpMethod.GET, path, List.of(), NO_BODY, waitMillis + TIMEOUT_MILLIS)
                .map(answer -> objects(kind, answer.body()));
    }

    @Override
    public Promise<List<Box>> boxes() {
        return call(HttpMethod.GET, "/boxes", List.of(), NO_BODY, TIMEOUT_MILLIS)
                .map(answer -> List.of(Json.read(answer.body(), Box[].class)));
    }

    @Override
    public long calls() {
        return count;
    }

    /**
     * Returns the path of an object.
     *
     * @param kind The object's kind.
     * @param name The object's name.
     * @return The path.
     */
    private static String path(String kind, String name) {
        return "/objects/" + kind + "/" + name;
    }

    /**
     * Writes an object under a condition.
     *
     * @param kind The object's kind.
     * @param name The object's name.
     * @param value The value.
     * @param condition The condition.
     * @return The new version.
     */
    private Promise<StoredObject> write(
            String kind, String name, byte[] value, HeaderField condition) {
        return call(HttpMethod.PUT, path(kind, name), List.of(condition), value, TIMEOUT_MILLIS)
                .map(answer -> object(kind, name, answer, value));
    }

    /**
     * Makes a call and turns failures into error kinds.
     *
     * @param method The method.
     * @param path The path and query.
     * @param headers The header fields.
     * @param body The body.
     * @param timeoutMillis How long the call may take, in milliseconds.
     * @return The answer.
     */
    private Promise<BufferedHttpResponse> call(
            HttpMethod method,
            String path,
            List<HeaderField> headers,
            byte[] body,
            long timeoutMillis) {
        count++;
        return calls.exchange(method, base + path, headers, body, timeoutMillis)
                .mapException(HttpPlatform::unavailable)
                .map(HttpPlatform::checkStatus);
    }

    /**
     * Turns a failed call into its error kind.
     *
     * @param exception The failure.
     * @return The exception that states the error kind.
     */
    private static MartenwellException unavailable(Exception exception) {
        return MartenwellException.of(
                ErrorKind.PLATFORM_UNAVAILABLE, "The platform did not answer.", exception);
    }

    /**
     * Throws an exception for a status that is neither success nor absence.
     *
     * @param answer The answer.
     * @return The answer.
     */
    private static BufferedHttpResponse checkStatus(BufferedHttpResponse answer) {
        int status = answer.status();
        if (status == 409 || status == 412) {
            throw MartenwellException.of(ErrorKind.VERSION_CONFLICT, "The object changed.");
        }
        if (status == 429) {
            throw MartenwellException.of(
                            ErrorKind.PLATFORM_UNAVAILABLE, "The platform's rate is used up.")
                    .withOutcome(Outcome.NOT_RUN);
        }
        if (status >= 300 && status != 404) {
            throw MartenwellException.of(
                    ErrorKind.PLATFORM_UNAVAILABLE, "The platform answered " + status + ".");
        }
        return answer;
    }

    /**
     * Builds an object from an answer.
     *
     * @param kind The object's kind.
     * @param name The object's name.
     * @param answer The answer with the version as its entity tag.
     * @param value The value.
     * @return The object.
     */
    private static StoredObject object(
            String kind, String name, BufferedHttpResponse answer, byte[] value) {
        String tag =
                HeaderFields.find(answer.headers(), "ETag")
                        .orElseThrow(
                                () ->
                                        MartenwellException.of(
                                                ErrorKind.PLATFORM_UNAVAILABLE,
                                                "The platform told no version."));
        long version = Long.parseLong(tag.replace("\"", ""));
        return new StoredObject(kind, name, version, value);
    }

    /**
     * Reads a list of objects.
     *
     * @param kind The objects' kind.
     * @param body The list.
     * @return The objects.
     */
    private static List<StoredObject> objects(String kind, byte[] body) {
        List<StoredObject> objects = new ArrayList<>();
        for (JsonNode item : Json.read(body)) {
            ObjectItem read = JsonDocuments.map(item, ObjectItem.class);
            byte[] value = Base64.getDecoder().decode(read.value());
            objects.add(new StoredObject(kind, read.name(), read.version(), value));
        }
        return objects;
    }
}
