package org.martenwell.json;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

/**
 * Parses and serializes the JSON that programs exchange. See {@link JsonDocuments} for files
 * written by people.
 */
public final class Json {

    private Json() {}

    /** Initializes the object mapper on first use; reading and writing trees does not need it. */
    private static final class Mapper {

        /** Accepts strict JSON and ignores unknown fields. */
        private static final ObjectMapper INSTANCE =
                JsonMapper.builder()
                        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                        .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                        .addModule(new Jdk8Module())
                        .defaultPropertyInclusion(
                                JsonInclude.Value.construct(
                                        JsonInclude.Include.NON_ABSENT,
                                        JsonInclude.Include.NON_ABSENT))
                        .build();

        private Mapper() {}
    }

    /**
     * Parses a message and maps it to a type. Throws {@link ErrorKind#MALFORMED_REQUEST} if it does
     * not match.
     *
     * @param bytes The message, encoded in UTF-8.
     * @param type The class to map to.
     * @param <T> The type of the result.
     * @return The mapped value.
     */
    public static <T> T read(byte[] bytes, Class<T> type) {
        try {
            return Mapper.INSTANCE.readValue(bytes, type);
        } catch (IOException exception) {
            throw MartenwellException.of(
                    ErrorKind.MALFORMED_REQUEST, "The body is not the expected JSON.", exception);
        }
    }

    /**
     * Parses a message into a tree. Throws {@link ErrorKind#MALFORMED_REQUEST} if it is not valid
     * JSON.
     *
     * @param bytes The message, encoded in UTF-8.
     * @return The root node.
     */
    public static JsonNode read(byte[] bytes) {
        try {
            return JsonTrees.read(bytes);
        } catch (IOException exception) {
            throw MartenwellException.of(
                    ErrorKind.MALFORMED_REQUEST, "The body is not valid JSON.", exception);
        }
    }

    /**
     * Parses a message that contains values from third parties. Values that cannot be parsed become
     * {@code null}, and invalid UTF-8 becomes U+FFFD.
     *
     * @param bytes The message, possibly with invalid UTF-8.
     * @return The root node.
     */
    public static JsonNode readLeniently(byte[] bytes) {
        try {
            return JsonTrees.readLeniently(bytes);
        } catch (IOException exception) {
            throw MartenwellException.of(
                    ErrorKind.MALFORMED_REQUEST, "The body is not valid JSON.", exception);
        }
    }

    /**
     * Serializes a tree.
     *
     * @param root The root node.
     * @return The message, encoded in UTF-8.
     */
    public static byte[] write(JsonNode root) {
        try {
            return JsonTrees.write(root);
        } catch (IOException exception) {
            throw MartenwellException.of(
                    ErrorKind.INTERNAL, "The tree cannot be serialized as JSON.", exception);
        }
    }

    /**
     * Serializes a value.
     *
     * @param value The value to serialize.
     * @return The message, encoded in UTF-8.
     */
    public static byte[] write(Object value) {
        try {
            return Mapper.INSTANCE.writeValueAsBytes(value);
        } catch (JsonProcessingException exception) {
            throw MartenwellException.of(
                    ErrorKind.INTERNAL, "The value cannot be serialized as JSON.", exception);
        }
    }

    /**
     * Serializes a value with indentation, for people to read.
     *
     * @param value The value to serialize.
     * @return The indented JSON.
     */
    public static String print(Object value) {
        try {
            return Mapper.INSTANCE.writerWithDefaultPrettyPrinter().writeValueAsString(value);
        } catch (JsonProcessingException exception) {
            throw MartenwellException.of(
                    ErrorKind.INTERNAL, "The value cannot be serialized as JSON.", exception);
        }
    }
}
