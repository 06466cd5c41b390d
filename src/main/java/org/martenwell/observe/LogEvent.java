package org.martenwell.observe;

import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.logging.log4j.message.MapMessage;
import org.apache.logging.log4j.message.Message;

/** One structured log line. */
public final class LogEvent {

    /** The fields in the order in which they were added. */
    private final Map<String, Object> fields = new LinkedHashMap<>();

    /** Created by {@link #of}. */
    private LogEvent() {}

    /**
     * Starts a line.
     *
     * @param name What happened.
     * @return The line.
     */
    public static LogEvent of(String name) {
        return new LogEvent().with("event", name);
    }

    /**
     * Adds a field.
     *
     * @param field The field's name.
     * @param value The field's value.
     * @return This line.
     */
    public LogEvent with(String field, Object value) {
        fields.put(field, value);
        return this;
    }

    /**
     * Returns the line for a logger.
     *
     * @return The message.
     */
    public Message message() {
        return new MapMessage<>(fields);
    }
}
