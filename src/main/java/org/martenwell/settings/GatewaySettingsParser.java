package org.martenwell.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.martenwell.json.JsonDocuments;
import org.martenwell.service.IpAddress;

/**
 * Reads a gateway's settings without a schema, whose check loaded 760 of the 3,600 classes of a
 * start. What it accepts the schema accepts too; all else it leaves to the schema, which explains
 * what is wrong.
 */
final class GatewaySettingsParser {

    /** The field with the processor time. */
    private static final String PROCESSOR = "processor";

    /** The longest name of a gateway or failure domain. */
    private static final int MAX_NAME = 64;

    /** The shortest key that peers may share. */
    private static final int MIN_KEY = 32;

    /** The longest key that peers may share. */
    private static final int MAX_KEY = 256;

    /** The most processors and the greatest speed of one. */
    private static final double MAX_PROCESSORS = 1_024;

    /** The longest time, in seconds. */
    private static final double MAX_SECONDS = 3_600;

    /** The shortest window, in seconds. */
    private static final double MIN_WINDOW_SECONDS = 0.1;

    /** The greatest allowance of retries. */
    private static final double MAX_ALLOWANCE = 1_000_000;

    /** The texts by field that were not taken yet. */
    private final Map<String, String> texts = new HashMap<>();

    /** The numbers by field that were not taken yet. */
    private final Map<String, Double> numbers = new HashMap<>();

    /** Whether the processor time is given. */
    private boolean processorGiven;

    /** Whether all that was taken is valid. */
    private boolean valid = true;

    /** Created by {@link #parse}. */
    private GatewaySettingsParser() {}

    /**
     * Reads settings.
     *
     * @param text The document, JSON with comments.
     * @return The settings or empty if they are not plainly valid.
     */
    static Optional<GatewaySettings> parse(String text) {
        GatewaySettingsParser fields = new GatewaySettingsParser();
        try (JsonParser parser = JsonDocuments.parser(text)) {
            boolean read =
                    parser.nextToken() == JsonToken.START_OBJECT
                            && fields.readObject(parser, "")
                            && parser.nextToken() == null;
            return read ? fields.settings() : Optional.empty();
        } catch (IOException exception) {
            // The reader by schema meets the same error and tells where it is.
            return Optional.empty();
        }
    }

    /**
     * Reads the fields of an object.
     *
     * @param parser Stands at the object's begin.
     * @param path The path of the object, empty for the document.
     * @return {@code true} if all fields have types that settings have.
     * @throws IOException If the document is malformed.
     */
    private boolean readObject(JsonParser parser, String path) throws IOException {
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = path + parser.currentName();
            JsonToken value = parser.nextToken();
            if (value == JsonToken.VALUE_STRING) {
                texts.put(name, parser.getText());
            } else if (value.isNumeric()) {
                numbers.put(name, parser.getDoubleValue());
            } else if (value == JsonToken.START_OBJECT && name.equals(PROCESSOR)) {
                processorGiven = true;
                if (!readObject(parser, PROCESSOR + "/")) {
                    return false;
                }
            } else {
                return false;
            }
        }
        return true;
    }

    /**
     * Builds the settings.
     *
     * @return The settings or empty if a field is missing, unknown or out of its range.
     */
    private Optional<GatewaySettings> settings() {
        GatewaySettings settings =
                new GatewaySettings(
                        name("name"),
                        name("failureDomain"),
                        text("deployment", 1, MAX_NAME),
                        address("callerAddress"),
                        address("readinessAddress"),
                        address("peerAddress"),
                        address("directoryAddress"),
                        text("peerKey", MIN_KEY, MAX_KEY),
                        texts.containsKey("metricsAddress")
                                ? Optional.of(address("metricsAddress"))
                                : Optional.empty(),
                        processor(),
                        number("stopSeconds", 0, MAX_SECONDS),
                        number("retryShare", 0, 1),
                        number("retryAllowance", 0, MAX_ALLOWANCE),
                        number("retryWindowSeconds", MIN_WINDOW_SECONDS, MAX_SECONDS),
                        number("shareWindowSeconds", MIN_WINDOW_SECONDS, MAX_SECONDS));
        boolean whole = valid && texts.isEmpty() && numbers.isEmpty();
        return whole ? Optional.of(settings) : Optional.empty();
    }

    /**
     * Takes the processor time.
     *
     * @return The processor time or empty if it is not given.
     */
    private Optional<ProcessorSettings> processor() {
        if (!processorGiven) {
            return Optional.empty();
        }
        return Optional.of(
                new ProcessorSettings(
                        number(PROCESSOR + "/share", Double.MIN_VALUE, MAX_PROCESSORS),
                        number(PROCESSOR + "/speed", Double.MIN_VALUE, MAX_PROCESSORS)));
    }

    /**
     * Takes a text.
     *
     * @param field The field.
     * @param least The least number of characters.
     * @param most The greatest number of characters.
     * @return The text, empty if it is not valid.
     */
    private String text(String field, int least, int most) {
        String text = Optional.ofNullable(texts.remove(field)).orElse("");
        int length = text.codePointCount(0, text.length());
        valid = valid && length >= least && length <= most;
        return text;
    }

    /**
     * Takes a name.
     *
     * @param field The field.
     * @return The name, empty if it is not valid.
     */
    private String name(String field) {
        String name = text(field, 1, MAX_NAME);
        valid = valid && isAlphanumeric(name.charAt(0));
        valid = valid && name.chars().allMatch(GatewaySettingsParser::isInName);
        return name;
    }

    /**
     * Tells whether a character may stand in a name.
     *
     * @param character The character.
     * @return {@code true} if so.
     */
    private static boolean isInName(int character) {
        return isAlphanumeric(character)
                || character == '.'
                || character == '_'
                || character == '-';
    }

    /**
     * Tells whether a character may begin a name.
     *
     * @param character The character.
     * @return {@code true} if so.
     */
    private static boolean isAlphanumeric(int character) {
        return (character >= 'a' && character <= 'z')
                || (character >= 'A' && character <= 'Z')
                || (character >= '0' && character <= '9');
    }

    /**
     * Takes an address.
     *
     * @param field The field.
     * @return The address, empty if it is not valid.
     */
    private String address(String field) {
        String address = Optional.ofNullable(texts.remove(field)).orElse("");
        valid = valid && IpAddress.parse(address).isPresent();
        return address;
    }

    /**
     * Takes a number.
     *
     * @param field The field.
     * @param least The least allowed.
     * @param most The greatest allowed.
     * @return The number, 0 if it is not there.
     */
    private double number(String field, double least, double most) {
        Double number = numbers.remove(field);
        if (number == null) {
            valid = false;
            return 0;
        }
        valid = valid && number >= least && number <= most;
        return number;
    }
}
