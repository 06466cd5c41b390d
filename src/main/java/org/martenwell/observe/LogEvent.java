package org.martenwell.observe;

import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.logging.log4j.message.MapMessage;
import org.apache.logging.log4j.message.Message;

/** Builder of a structured log message with named fields. */
public final class LogEvent {

    /** The fields by name. */
    private final Map<String, Object> fields = new LinkedHashMap<>();

    private LogEvent() {}

    /**
     * Creates a builder for an event.
     *
     * @param name The event's name, written as the field {@code event}.
     * @return The builder.
     */
    public static LogEvent of(String name) {
        return new LogEvent().with("event", name);
    }

    /**
     * Adds a field, or replaces its value.
     *
     * @param field The field's name.
     * @param value The field's value, formatted when the message is logged.
     * @return This builder.
     */
    public LogEvent with(String field, Object value) {
        fields.put(field, value);
        return this;
    }

    /**
     * Builds the message for a logger.
     *
     * @return The message with a copy of the fields.
     */
    public Message message() {
        return new MapMessage<>(fields);
    }
}
