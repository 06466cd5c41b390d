package org.martenwell.objects;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.promise.Promise;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;
import org.martenwell.error.Outcome;
import org.martenwell.http.AsyncHttpClient;
import org.martenwell.http.BufferedHttpResponse;
import org.martenwell.http.HeaderField;
import org.martenwell.http.HeaderFields;
import org.martenwell.json.Json;
import org.martenwell.json.JsonDocuments;
import org.martenwell.observe.LogEvent;
import org.martenwell.service.IpAddress;

/**
 * Client of the platform over HTTP: {@code /objects/KIND/NAME} with entity tags as versions (RFC
 * 9110, section 13), long polling for watches, and {@code /boxes}.
 */
public final class HttpPlatform implements Platform {

    private static final Logger LOGGER = LogManager.getLogger(HttpPlatform.class);

    /** Timeout of a call; a watch adds its waiting time. */
    private static final long TIMEOUT_MILLIS = 2_000;

    private static final byte[] NO_BODY = {};

    private final AsyncHttpClient httpClient;

    private final String baseUrl;

    private long callCount;

    /** The number of malformed boxes in the last list. */
    private int malformedBoxes;

    /**
     * Creates a client.
     *
     * @param httpClient The HTTP client.
     * @param address The platform's address, as host and port.
     */
    public HttpPlatform(AsyncHttpClient httpClient, String address) {
        this.httpClient = httpClient;
        this.baseUrl = "http://" + address;
    }

    @Override
    public Promise<Optional<StoredObject>> read(String kind, String name) {
        return call(HttpMethod.GET, path(kind, name), List.of(), NO_BODY, TIMEOUT_MILLIS)
                .map(
                        response ->
                                response.status() == 404
                                        ? Optional.empty()
                                        : Optional.of(
                                                object(kind, name, response, response.body())));
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
                .map(response -> objects(kind, response.body()));
    }

    @Override
    public Promise<List<Box>> boxes() {
        return call(HttpMethod.GET, "/boxes", List.of(), NO_BODY, TIMEOUT_MILLIS)
                .map(response -> parseBoxes(response.body()));
    }

    /** Parses a box list, without the boxes that are malformed. */
    private List<Box> parseBoxes(byte[] body) {
        JsonNode list = Json.readLeniently(body);
        if (!list.isArray()) {
            throw MartenwellException.of(
                    ErrorKind.PLATFORM_UNAVAILABLE, "The box list of the platform is no array.");
        }
        List<Box> boxes = new ArrayList<>();
        for (JsonNode each : list) {
            parseBox(each).ifPresent(boxes::add);
        }
        int malformed = list.size() - boxes.size();
        if (malformed != malformedBoxes) {
            malformedBoxes = malformed;
            LOGGER.warn(LogEvent.of("boxes-unreadable").with("count", malformed).message());
        }
        return boxes;
    }

    private static Optional<Box> parseBox(JsonNode item) {
        try {
            Box box = Json.read(Json.write(item), Box.class);
            return Optional.ofNullable(box).filter(HttpPlatform::isComplete);
        } catch (MartenwellException malformed) {
            return Optional.empty();
        }
    }

    private static boolean isComplete(Box box) {
        return box.name() != null
                && box.role() != null
                && box.failureDomain() != null
                && box.state() != null
                && box.address() != null
                && IpAddress.parse(box.address()).isPresent();
    }

    @Override
    public long callCount() {
        return callCount;
    }

    private static String path(String kind, String name) {
        return "/objects/" + kind + "/" + name;
    }

    private Promise<StoredObject> write(
            String kind, String name, byte[] value, HeaderField condition) {
        return call(HttpMethod.PUT, path(kind, name), List.of(condition), value, TIMEOUT_MILLIS)
                .map(response -> object(kind, name, response, value));
    }

    private Promise<BufferedHttpResponse> call(
            HttpMethod method,
            String path,
            List<HeaderField> headers,
            byte[] body,
            long timeoutMillis) {
        callCount++;
        return httpClient
                .exchange(method, baseUrl + path, headers, body, timeoutMillis)
                .mapException(HttpPlatform::toUnavailable)
                .map(HttpPlatform::checkStatus);
    }

    private static MartenwellException toUnavailable(Exception exception) {
        return MartenwellException.of(
                ErrorKind.PLATFORM_UNAVAILABLE, "The platform did not respond.", exception);
    }

    /** Throws an exception for an error status other than 404. */
    private static BufferedHttpResponse checkStatus(BufferedHttpResponse response) {
        int status = response.status();
        if (status == 409 || status == 412) {
            throw MartenwellException.of(
                    ErrorKind.VERSION_CONFLICT, "The object was changed concurrently.");
        }
        if (status == 429) {
            throw MartenwellException.of(
                            ErrorKind.PLATFORM_UNAVAILABLE,
                            "The rate limit of the platform is exceeded.")
                    .withOutcome(Outcome.NOT_RUN);
        }
        if (status >= 300 && status != 404) {
            throw MartenwellException.of(
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    "The platform responded with status " + status + ".");
        }
        return response;
    }

    /** Builds an object whose version is the response's entity tag. */
    private static StoredObject object(
            String kind, String name, BufferedHttpResponse response, byte[] value) {
        String tag =
                HeaderFields.find(response.headers(), "ETag")
                        .orElseThrow(
                                () ->
                                        MartenwellException.of(
                                                ErrorKind.PLATFORM_UNAVAILABLE,
                                                "The response of the platform has no ETag."));
        long version = Long.parseLong(tag.replace("\"", ""));
        return new StoredObject(kind, name, version, value);
    }

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
