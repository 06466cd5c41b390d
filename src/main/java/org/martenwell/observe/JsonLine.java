package org.martenwell.observe;

import java.time.LocalDateTime;
import java.time.ZoneOffset;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.MapMessage;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.util.StringBuilders;

/**
 * Formatter of a log line: a JSON object with the time, the level, the logger's name, the data and
 * the type and message of the exception, if there is one. The data are the fields of a map message,
 * or a single field {@code text} with any other message, such as those of libraries.
 */
final class JsonLine {

    private static final int MILLIS_PER_SECOND = 1_000;

    private static final int NANOS_PER_MILLI = 1_000_000;

    /** The object without its closing brace. */
    private final StringBuilder text = new StringBuilder(256);

    private JsonLine() {}

    /**
     * Formats the line of an event without an exception.
     *
     * @param millis The time of the event, in milliseconds since the epoch.
     * @param level The event's level.
     * @param logger The logger's name.
     * @param message The event's message.
     * @return The line.
     */
    static JsonLine of(long millis, Level level, String logger, Message message) {
        JsonLine line = new JsonLine();
        line.text.append("{\"time\":\"");
        line.appendTime(millis);
        line.text.append("\",\"level\":\"").append(level.name());
        line.text.append("\",\"logger\":\"");
        line.appendEscaped(logger);
        line.text.append("\",\"data\":");
        line.appendData(message);
        return line;
    }

    /**
     * Adds the type and message of an exception, without its stack trace.
     *
     * @param thrown The exception, or {@code null} to add nothing.
     * @return This line.
     */
    JsonLine withException(Throwable thrown) {
        if (thrown != null) {
            text.append(",\"exception\":\"");
            appendEscaped(thrown.toString());
            text.append('"');
        }
        return this;
    }

    /**
     * Returns the complete line.
     *
     * @return The JSON object and a line separator.
     */
    String text() {
        return text + "}" + System.lineSeparator();
    }

    /** Appends a message as the value of the field {@code data}. */
    private void appendData(Message message) {
        if (message instanceof MapMessage<?, ?> fields) {
            text.append(fields.asString(MapMessage.MapFormat.JSON.name()));
        } else {
            text.append("{\"text\":\"");
            appendEscaped(message.getFormattedMessage());
            text.append("\"}");
        }
    }

    private void appendEscaped(String value) {
        int start = text.length();
        text.append(value);
        StringBuilders.escapeJson(text, start);
    }

    /**
     * Appends a time in ISO 8601 format, UTC, with milliseconds. Doesn't use the formatters of
     * {@code java.time}, which load locale data and so slow down the start of a process by 30 ms.
     *
     * @param millis The time, in milliseconds since the epoch.
     */
    private void appendTime(long millis) {
        int millisOfSecond = Math.floorMod(millis, MILLIS_PER_SECOND);
        LocalDateTime time =
                LocalDateTime.ofEpochSecond(
                        Math.floorDiv(millis, MILLIS_PER_SECOND),
                        millisOfSecond * NANOS_PER_MILLI,
                        ZoneOffset.UTC);
        appendNumber(time.getYear(), 4).append('-');
        appendNumber(time.getMonthValue(), 2).append('-');
        appendNumber(time.getDayOfMonth(), 2).append('T');
        appendNumber(time.getHour(), 2).append(':');
        appendNumber(time.getMinute(), 2).append(':');
        appendNumber(time.getSecond(), 2).append('.');
        appendNumber(millisOfSecond, 3).append('Z');
    }

    /**
     * Appends a number, padded with leading zeros.
     *
     * @param value The number, not negative.
     * @param digits The minimum number of digits.
     * @return The builder, for chaining.
     */
    private StringBuilder appendNumber(int value, int digits) {
        String plain = Integer.toString(value);
        for (int length = plain.length(); length < digits; length++) {
            text.append('0');
        }
        return text.append(plain);
    }
}
