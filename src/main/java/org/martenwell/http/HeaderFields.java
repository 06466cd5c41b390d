package org.martenwell.http;

import com.google.common.base.Splitter;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMessage;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Names and filters of HTTP header fields. */
public final class HeaderFields {

    /** The id of the request, in requests and responses. */
    public static final String REQUEST_ID = "X-Request-Id";

    /** The outcome of the request, in responses to callers. */
    public static final String OUTCOME = "X-Outcome";

    /** The priority of the request, in requests to engines. */
    public static final String PRIORITY = "X-Priority";

    /** Marks the response of a target that refused a request before starting it. */
    public static final String NOT_STARTED = "X-Not-Started";

    /** The id of the last event received, to resume a stream after it. */
    public static final String LAST_EVENT_ID = "Last-Event-ID";

    /** The delay after which a retry may succeed, in seconds. */
    public static final String RETRY_AFTER = "Retry-After";

    /** The hop-by-hop fields of RFC 9110, section 7.6.1. */
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");

    /** The fields that the HTTP libraries set themselves. */
    private static final Set<String> FRAMING = Set.of("content-length", "host", "expect", "date");

    /**
     * The request fields of callers that are not forwarded to targets. The encoding of a request's
     * body is removed when it is read.
     */
    private static final Set<String> NOT_FORWARDED =
            Set.of(
                    "authorization",
                    "x-api-key",
                    "cookie",
                    "accept-encoding",
                    "content-encoding",
                    "x-priority");

    private HeaderFields() {}

    /**
     * Returns all header fields of a message.
     *
     * @param message The message.
     * @return The fields.
     */
    public static List<HeaderField> read(HttpMessage message) {
        List<HeaderField> fields = new ArrayList<>();
        for (Map.Entry<HttpHeader, HttpHeaderValue> entry : message.getHeaders()) {
            fields.add(new HeaderField(entry.getKey().toString(), entry.getValue().toString()));
        }
        return fields;
    }

    /**
     * Finds a header field of a message.
     *
     * @param message The message.
     * @param name The field's name.
     * @return The value, empty if the field is missing.
     */
    public static Optional<String> find(HttpMessage message, String name) {
        return Optional.ofNullable(message.getHeader(HttpHeaders.of(name)));
    }

    /**
     * Finds a header field by its name, ignoring case.
     *
     * @param fields The fields.
     * @param name The field's name.
     * @return The first value, empty if the field is missing.
     */
    public static Optional<String> find(List<HeaderField> fields, String name) {
        return fields.stream()
                .filter(field -> field.name().equalsIgnoreCase(name))
                .map(HeaderField::value)
                .findFirst();
    }

    /**
     * Returns the fields of a caller's request that are forwarded to a target.
     *
     * @param fields The fields.
     * @return The fields without hop-by-hop, framing, credential, encoding and priority fields.
     */
    public static List<HeaderField> forTarget(List<HeaderField> fields) {
        return endToEnd(fields).stream()
                .filter(field -> !NOT_FORWARDED.contains(lowerCase(field.name())))
                .toList();
    }

    /**
     * Returns the fields of a target's response that are forwarded to a caller.
     *
     * @param fields The fields.
     * @return The fields without hop-by-hop and framing fields and those that the router sets or
     *     interprets itself.
     */
    public static List<HeaderField> forCaller(List<HeaderField> fields) {
        return endToEnd(fields).stream()
                .filter(field -> !field.name().equalsIgnoreCase(OUTCOME))
                .filter(field -> !field.name().equalsIgnoreCase(REQUEST_ID))
                .filter(field -> !field.name().equalsIgnoreCase(NOT_STARTED))
                .toList();
    }

    /** Removes hop-by-hop fields, also those that a {@code Connection} field names. */
    private static List<HeaderField> endToEnd(List<HeaderField> fields) {
        Set<String> dropped = new HashSet<>(HOP_BY_HOP);
        dropped.addAll(FRAMING);
        for (HeaderField field : fields) {
            if (field.name().equalsIgnoreCase("connection")) {
                Splitter.on(',')
                        .trimResults()
                        .split(field.value())
                        .forEach(name -> dropped.add(lowerCase(name)));
            }
        }
        return fields.stream().filter(field -> !dropped.contains(lowerCase(field.name()))).toList();
    }

    private static String lowerCase(String name) {
        return name.toLowerCase(Locale.ROOT);
    }
}
