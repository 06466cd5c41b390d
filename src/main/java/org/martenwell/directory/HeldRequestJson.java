package org.martenwell.directory;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.HeldRequest;
import org.martenwell.quarantine.RequestSummary;

/** The form of requests that are held back in a store. The object's name is the fingerprint. */
final class HeldRequestJson {

    /** Since when it is held back, in milliseconds since 1970. */
    private static final String SINCE = "sinceMillis";

    /** The lives of targets that ended under it. */
    private static final String INCARNATIONS = "targetsEnded";

    /** The name of the gateway that made it known. */
    private static final String GATEWAY = "gateway";

    /** The request's method. */
    private static final String METHOD = "method";

    /** The host of its route. */
    private static final String HOST = "host";

    /** Its path without the query. */
    private static final String PATH = "path";

    /** The caller's organisation. */
    private static final String ORGANISATION = "organisation";

    /** Not instantiated. */
    private HeldRequestJson() {}

    /**
     * Writes a request.
     *
     * @param request The request.
     * @return Its form.
     */
    static JsonNode write(HeldRequest request) {
        ObjectNode value = JsonNodeFactory.instance.objectNode();
        value.put(METHOD, request.summary().method());
        value.put(HOST, request.summary().host());
        value.put(PATH, request.summary().path());
        value.put(ORGANISATION, request.summary().organisation());
        value.put(GATEWAY, request.gateway());
        value.put(SINCE, request.sinceMillis());
        ArrayNode incarnations = value.putArray(INCARNATIONS);
        request.lives().forEach(incarnations::add);
        return value;
    }

    /**
     * Reads a request. Only its name and since when it is held back decide anything; the rest is
     * for operators and may be missing.
     *
     * @param entry Its object.
     * @return The request or empty if it can't be read.
     */
    static Optional<HeldRequest> read(StoredEntry entry) {
        JsonNode value = entry.value();
        if (!value.path(SINCE).isIntegralNumber()) {
            return Optional.empty();
        }
        return Fingerprint.parse(entry.name())
                .map(
                        fingerprint ->
                                new HeldRequest(
                                        fingerprint,
                                        new RequestSummary(
                                                value.path(METHOD).asText(""),
                                                value.path(HOST).asText(""),
                                                value.path(PATH).asText(""),
                                                value.path(ORGANISATION).asText("")),
                                        readIncarnations(value.path(INCARNATIONS)),
                                        value.path(GATEWAY).asText(""),
                                        value.path(SINCE).asLong()));
    }

    /**
     * Reads the lives of targets.
     *
     * @param list The lives.
     * @return The lives.
     */
    private static Set<String> readIncarnations(JsonNode list) {
        Set<String> incarnations = new LinkedHashSet<>();
        list.forEach(each -> incarnations.add(each.asText("")));
        return incarnations;
    }
}
