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

/** Reads and filters header fields. */
public final class HeaderFields {

    /** Carries the request's id in both directions. */
    public static final String REQUEST_ID = "X-Request-Id";

    /** Carries the outcome to callers. */
    public static final String OUTCOME = "X-Outcome";

    /** Carries the priority to engines. */
    public static final String PRIORITY = "X-Priority";

    /** Says that a target refused a request before it started. */
    public static final String NOT_STARTED = "X-Not-Started";

    /** Names the event after which a stream goes on. */
    public static final String LAST_EVENT_ID = "Last-Event-ID";

    /** Says when to come back, in seconds. */
    public static final String RETRY_AFTER = "Retry-After";

    /** The fields of RFC 9110, section 7.6.1, that belong to one connection. */
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

    /** The fields that the HTTP library writes itself or that state what it has already undone. */
    private static final Set<String> FRAMING =
            Set.of("content-length", "content-encoding", "host", "expect", "date");

    /** The fields of callers that never reach a target. */
    private static final Set<String> PRIVATE =
            Set.of("authorization", "x-api-key", "cookie", "accept-encoding", "x-priority");

    /** Not instantiated. */
    private HeaderFields() {}

    /**
     * Reads all fields of a message.
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
     * Finds a field of a message.
     *
     * @param message The message.
     * @param name The field's name.
     * @return The value.
     */
    public static Optional<String> find(HttpMessage message, String name) {
        return Optional.ofNullable(message.getHeader(HttpHeaders.of(name)));
    }

    /**
     * Finds a field.
     *
     * @param fields The fields.
     * @param name The field's name.
     * @return The first value.
     */
    public static Optional<String> find(List<HeaderField> fields, String name) {
        return fields.stream()
                .filter(field -> field.name().equalsIgnoreCase(name))
                .map(HeaderField::value)
                .findFirst();
    }

    /**
     * Keeps the fields of a caller's request that go on to a target.
     *
     * @param fields The fields.
     * @return The fields without those of the connection and those that are secret.
     */
    public static List<HeaderField> forTarget(List<HeaderField> fields) {
        return endToEnd(fields).stream()
                .filter(field -> !PRIVATE.contains(lowerCase(field.name())))
                .toList();
    }

    /**
     * Keeps the fields of a target's answer that go on to a caller.
     *
     * @param fields The fields.
     * @return The fields without those of the connection and those that the router sets itself.
     */
    public static List<HeaderField> forCaller(List<HeaderField> fields) {
        return endToEnd(fields).stream()
                .filter(field -> !field.name().equalsIgnoreCase(OUTCOME))
                .filter(field -> !field.name().equalsIgnoreCase(REQUEST_ID))
                .filter(field -> !field.name().equalsIgnoreCase(NOT_STARTED))
                .toList();
    }

    /**
     * Drops the fields of one connection.
     *
     * @param fields The fields.
     * @return The others.
     */
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

    /**
     * Writes a name in lower case.
     *
     * @param name The name.
     * @return The name in lower case.
     */
    private static String lowerCase(String name) {
        return name.toLowerCase(Locale.ROOT);
    }
}
