package org.martenwell.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.martenwell.json.JsonDocuments;
import org.martenwell.service.IpAddress;

/**
 * Parses valid gateway settings without loading the schema validator, which takes 760 of the 3,600
 * classes of a gateway's start. It accepts no document that the schema rejects; for any other it
 * returns empty, and the schema validator reports the problems.
 */
final class GatewaySettingsParser {

    /** The field with the processor time, the only nested object. */
    private static final String PROCESSOR = "processor";

    /** The field with the enabled features, the only array. */
    private static final String FEATURES = "features";

    /**
     * The greatest length of the name of a gateway, failure domain or deployment, in characters.
     */
    private static final int MAX_NAME_LENGTH = 64;

    /** The least length of the key that peers share, in characters. */
    private static final int MIN_KEY_LENGTH = 32;

    /** The greatest length of the key that peers share, in characters. */
    private static final int MAX_KEY_LENGTH = 256;

    /** The greatest share and the greatest speed of a processor. */
    private static final double MAX_PROCESSORS = 1_024;

    /** The longest time or window, in seconds. */
    private static final double MAX_SECONDS = 3_600;

    private static final double MIN_WINDOW_SECONDS = 0.1;

    private static final double MAX_RETRY_ALLOWANCE = 1_000_000;

    /** The strings by field path; a field is removed once it is read. */
    private final Map<String, String> texts = new HashMap<>();

    /** The numbers by field path; a field is removed once it is read. */
    private final Map<String, Double> numbers = new HashMap<>();

    private final Set<GatewayFeature> features = EnumSet.noneOf(GatewayFeature.class);

    private boolean hasProcessor;

    /** Stays {@code true} while all fields that were read are valid. */
    private boolean valid = true;

    private GatewaySettingsParser() {}

    /**
     * Parses settings.
     *
     * @param text The document, JSON with comments.
     * @return The settings, or empty if the schema validator has to check them.
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
            // SettingsReader parses the document again and reports the position of the error.
            return Optional.empty();
        }
    }

    /**
     * Reads the fields of an object into {@link #texts} and {@link #numbers}.
     *
     * @param parser The parser, positioned at the start of the object.
     * @param path The prefix of the fields' paths, empty for the document.
     * @return {@code false} if a value has a type that no setting has.
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
                hasProcessor = true;
                if (!readObject(parser, PROCESSOR + "/")) {
                    return false;
                }
            } else if (value != JsonToken.START_ARRAY
                    || !name.equals(FEATURES)
                    || !readFeatures(parser)) {
                return false;
            }
        }
        return true;
    }

    /** Reads the array of features; returns {@code false} for an unknown or repeated one. */
    private boolean readFeatures(JsonParser parser) throws IOException {
        while (parser.nextToken() == JsonToken.VALUE_STRING) {
            Optional<GatewayFeature> feature = GatewayFeature.of(parser.getText());
            if (feature.isEmpty() || !features.add(feature.get())) {
                return false;
            }
        }
        return parser.currentToken() == JsonToken.END_ARRAY;
    }

    /**
     * Builds the settings from the fields.
     *
     * @return The settings, or empty if a field is missing, unknown or out of range.
     */
    private Optional<GatewaySettings> settings() {
        GatewaySettings settings =
                new GatewaySettings(
                        name("name"),
                        name("failureDomain"),
                        text("deployment", 1, MAX_NAME_LENGTH),
                        address("callerAddress"),
                        address("readinessAddress"),
                        address("peerAddress"),
                        address("directoryAddress"),
                        text("peerKey", MIN_KEY_LENGTH, MAX_KEY_LENGTH),
                        texts.containsKey("metricsAddress")
                                ? Optional.of(address("metricsAddress"))
                                : Optional.empty(),
                        processor(),
                        number("stopSeconds", 0, MAX_SECONDS),
                        number("retryShare", 0, 1),
                        number("retryAllowance", 0, MAX_RETRY_ALLOWANCE),
                        number("retryWindowSeconds", MIN_WINDOW_SECONDS, MAX_SECONDS),
                        number("shareWindowSeconds", MIN_WINDOW_SECONDS, MAX_SECONDS),
                        features.isEmpty() ? Optional.empty() : Optional.of(features));
        boolean complete = valid && texts.isEmpty() && numbers.isEmpty();
        return complete ? Optional.of(settings) : Optional.empty();
    }

    private Optional<ProcessorSettings> processor() {
        if (!hasProcessor) {
            return Optional.empty();
        }
        return Optional.of(
                new ProcessorSettings(
                        number(PROCESSOR + "/share", Double.MIN_VALUE, MAX_PROCESSORS),
                        number(PROCESSOR + "/speed", Double.MIN_VALUE, MAX_PROCESSORS)));
    }

    /**
     * Removes and checks a string field.
     *
     * @param field The field.
     * @param min The least number of characters.
     * @param max The greatest number of characters.
     * @return The text, empty if the field is missing.
     */
    private String text(String field, int min, int max) {
        String text = Optional.ofNullable(texts.remove(field)).orElse("");
        int length = text.codePointCount(0, text.length());
        valid = valid && length >= min && length <= max;
        return text;
    }

    /**
     * Removes and checks a name, which has letters, digits, dots, underscores and hyphens and
     * starts with a letter or digit.
     *
     * @param field The field.
     * @return The name, empty if the field is missing.
     */
    private String name(String field) {
        String name = text(field, 1, MAX_NAME_LENGTH);
        valid = valid && isAlphanumeric(name.charAt(0));
        valid = valid && name.chars().allMatch(GatewaySettingsParser::isNameCharacter);
        return name;
    }

    private static boolean isNameCharacter(int character) {
        return isAlphanumeric(character)
                || character == '.'
                || character == '_'
                || character == '-';
    }

    private static boolean isAlphanumeric(int character) {
        return (character >= 'a' && character <= 'z')
                || (character >= 'A' && character <= 'Z')
                || (character >= '0' && character <= '9');
    }

    /**
     * Removes and checks an address.
     *
     * @param field The field.
     * @return The address, empty if the field is missing.
     */
    private String address(String field) {
        String address = Optional.ofNullable(texts.remove(field)).orElse("");
        valid = valid && IpAddress.parse(address).isPresent();
        return address;
    }

    /**
     * Removes and checks a number.
     *
     * @param field The field.
     * @param min The least allowed value.
     * @param max The greatest allowed value.
     * @return The number, 0 if the field is missing.
     */
    private double number(String field, double min, double max) {
        Double number = numbers.remove(field);
        if (number == null) {
            valid = false;
            return 0;
        }
        valid = valid && number >= min && number <= max;
        return number;
    }
}
