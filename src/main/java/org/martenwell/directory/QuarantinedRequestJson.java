package org.martenwell.directory;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.martenwell.quarantine.Fingerprint;
import org.martenwell.quarantine.QuarantinedRequest;
import org.martenwell.quarantine.RequestSummary;

/**
 * JSON representation of quarantined requests in the store. The object's name is the request's
 * fingerprint.
 */
final class QuarantinedRequestJson {

    private static final String SINCE = "sinceMillis";

    /** Field with the incarnations of the targets that crashed while they ran the request. */
    private static final String INCARNATIONS = "targetsEnded";

    /** Field with the name of the gateway that quarantined the request. */
    private static final String GATEWAY = "gateway";

    private static final String METHOD = "method";

    private static final String HOST = "host";

    private static final String PATH = "path";

    private static final String ORGANISATION = "organisation";

    /** Field with the id of a prompt part, missing for a request as a whole. */
    private static final String PART = "part";

    private QuarantinedRequestJson() {}

    /**
     * Converts a request to JSON.
     *
     * @param request The request.
     * @return The object's value.
     */
    static JsonNode write(QuarantinedRequest request) {
        ObjectNode value = JsonNodeFactory.instance.objectNode();
        value.put(METHOD, request.summary().method());
        value.put(HOST, request.summary().host());
        value.put(PATH, request.summary().path());
        value.put(ORGANISATION, request.summary().organisation());
        if (!request.summary().part().isEmpty()) {
            value.put(PART, request.summary().part());
        }
        value.put(GATEWAY, request.gateway());
        value.put(SINCE, request.sinceMillis());
        ArrayNode incarnations = value.putArray(INCARNATIONS);
        request.crashedIncarnations().forEach(incarnations::add);
        return value;
    }

    /**
     * Parses a request. Only the fingerprint and the time are required; the other fields are
     * informational and may be missing.
     *
     * @param entry The object.
     * @return The request, or empty if the object is malformed.
     */
    static Optional<QuarantinedRequest> read(StoredEntry entry) {
        JsonNode value = entry.value();
        if (!value.path(SINCE).isIntegralNumber() || !value.path(SINCE).canConvertToLong()) {
            return Optional.empty();
        }
        return Fingerprint.parse(entry.name())
                .map(
                        fingerprint ->
                                new QuarantinedRequest(
                                        fingerprint,
                                        new RequestSummary(
                                                value.path(METHOD).asText(""),
                                                value.path(HOST).asText(""),
                                                value.path(PATH).asText(""),
                                                value.path(ORGANISATION).asText(""),
                                                value.path(PART).asText("")),
                                        readIncarnations(value.path(INCARNATIONS)),
                                        value.path(GATEWAY).asText(""),
                                        value.path(SINCE).asLong()));
    }

    private static Set<String> readIncarnations(JsonNode list) {
        Set<String> incarnations = new LinkedHashSet<>();
        list.forEach(each -> incarnations.add(each.asText("")));
        return incarnations;
    }
}
