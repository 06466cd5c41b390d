package org.martenwell.observe;

import java.time.LocalDateTime;
import java.time.ZoneOffset;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.MapMessage;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.util.StringBuilders;

/**
 * One line of the log: a JSON object with the time, the level, the logger, the data and the kind
 * and message of an exception, if there is one. The data of the program's own lines are fields,
 * those of libraries a text.
 */
final class JsonLine {

    /** How many milliseconds a second has. */
    private static final int SECOND_MILLIS = 1_000;

    /** How many nanoseconds a millisecond has. */
    private static final int MILLI_NANOS = 1_000_000;

    /** The line, open for more fields. */
    private final StringBuilder text = new StringBuilder(256);

    /** Created by {@link #of}. */
    private JsonLine() {}

    /**
     * Creates a line.
     *
     * @param millis The time since 1970, in milliseconds.
     * @param level The level.
     * @param logger The logger's name.
     * @param message The message.
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
     * Adds an exception.
     *
     * @param thrown The exception or {@code null}.
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
     * Returns the line.
     *
     * @return The text with its line end.
     */
    String text() {
        return text + "}" + System.lineSeparator();
    }

    /**
     * Appends a message as data.
     *
     * @param message The message.
     */
    private void appendData(Message message) {
        if (message instanceof MapMessage<?, ?> fields) {
            text.append(fields.asString(MapMessage.MapFormat.JSON.name()));
        } else {
            text.append("{\"text\":\"");
            appendEscaped(message.getFormattedMessage());
            text.append("\"}");
        }
    }

    /**
     * Appends a text, escaped for a JSON string.
     *
     * @param value The text.
     */
    private void appendEscaped(String value) {
        int start = text.length();
        text.append(value);
        StringBuilders.escapeJson(text, start);
    }

    /**
     * Appends a time in the form of ISO 8601, UTC, to the millisecond. Formatters of {@code
     * java.time} load locale data, which takes 30 ms of a start.
     *
     * @param millis The time since 1970, in milliseconds.
     */
    private void appendTime(long millis) {
        int rest = Math.floorMod(millis, SECOND_MILLIS);
        LocalDateTime time =
                LocalDateTime.ofEpochSecond(
                        Math.floorDiv(millis, SECOND_MILLIS), rest * MILLI_NANOS, ZoneOffset.UTC);
        appendNumber(time.getYear(), 4).append('-');
        appendNumber(time.getMonthValue(), 2).append('-');
        appendNumber(time.getDayOfMonth(), 2).append('T');
        appendNumber(time.getHour(), 2).append(':');
        appendNumber(time.getMinute(), 2).append(':');
        appendNumber(time.getSecond(), 2).append('.');
        appendNumber(rest, 3).append('Z');
    }

    /**
     * Appends a number.
     *
     * @param value The number, not negative.
     * @param digits How many digits it has at least.
     * @return The text.
     */
    private StringBuilder appendNumber(int value, int digits) {
        String plain = Integer.toString(value);
        for (int length = plain.length(); length < digits; length++) {
            text.append('0');
        }
        return text.append(plain);
    }
}
