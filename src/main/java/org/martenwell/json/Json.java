package org.martenwell.json;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/** The two JSON mappers of the program and their error handling. */
public final class Json {

    /**
     * Reads what people write: comments and trailing commas are allowed, unknown fields are not.
     */
    private static final ObjectMapper DOCUMENTS =
            JsonMapper.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
                    .addModule(new Jdk8Module())
                    .defaultPropertyInclusion(
                            JsonInclude.Value.construct(
                                    JsonInclude.Include.NON_ABSENT, JsonInclude.Include.NON_ABSENT))
                    .build();

    /** Reads what programs write: strict JSON, unknown fields ignored. */
    private static final ObjectMapper MESSAGES =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .addModule(new Jdk8Module())
                    .defaultPropertyInclusion(
                            JsonInclude.Value.construct(
                                    JsonInclude.Include.NON_ABSENT, JsonInclude.Include.NON_ABSENT))
                    .build();

    /** Not instantiated. */
    private Json() {}

    /**
     * Parses a document that a person wrote.
     *
     * @param file The name of the document, for the message.
     * @param text The document.
     * @return The root of the document.
     */
    public static JsonNode parseDocument(String file, String text) {
        try {
            return DOCUMENTS.readTree(text);
        } catch (JsonProcessingException exception) {
            Problem problem =
                    new Problem(
                            file,
                            "line " + exception.getLocation().getLineNr(),
                            exception.getOriginalMessage(),
                            "JSON with comments");
            throw MartenwellException.of(ErrorKind.INVALID_DOCUMENT, problem.toString(), exception);
        }
    }

    /**
     * Maps a checked document to its type.
     *
     * @param root The root of the document.
     * @param type The type to map to.
     * @param <T> The type to map to.
     * @return The mapped value.
     */
    public static <T> T map(JsonNode root, Class<T> type) {
        try {
            return DOCUMENTS.treeToValue(root, type);
        } catch (JsonProcessingException exception) {
            throw MartenwellException.of(
                    ErrorKind.INVALID_DOCUMENT, exception.getOriginalMessage(), exception);
        }
    }

    /**
     * Reads a message that a program wrote.
     *
     * @param bytes The message in UTF-8.
     * @param type The type to map to.
     * @param <T> The type to map to.
     * @return The mapped value.
     */
    public static <T> T read(byte[] bytes, Class<T> type) {
        try {
            return MESSAGES.readValue(bytes, type);
        } catch (IOException exception) {
            throw MartenwellException.of(
                    ErrorKind.MALFORMED_REQUEST, "The body is not the expected JSON.", exception);
        }
    }

    /**
     * Reads a message of any shape.
     *
     * @param bytes The message in UTF-8.
     * @return The root of the message.
     */
    public static JsonNode read(byte[] bytes) {
        return read(bytes, JsonNode.class);
    }

    /**
     * Writes a message.
     *
     * @param value The value to write.
     * @return The message in UTF-8.
     */
    public static byte[] write(Object value) {
        try {
            return MESSAGES.writeValueAsBytes(value);
        } catch (JsonProcessingException exception) {
            throw MartenwellException.of(
                    ErrorKind.INTERNAL, "A value has no JSON form.", exception);
        }
    }

    /**
     * Writes a value for a person to read.
     *
     * @param value The value to write.
     * @return The text, indented.
     */
    public static String print(Object value) {
        try {
            return MESSAGES.writerWithDefaultPrettyPrinter().writeValueAsString(value);
        } catch (JsonProcessingException exception) {
            throw MartenwellException.of(
                    ErrorKind.INTERNAL, "A value has no JSON form.", exception);
        }
    }
}
