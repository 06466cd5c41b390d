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

/** Reads and writes the JSON that programs exchange. */
public final class Json {

    /** Not instantiated. */
    private Json() {}

    /** Maps messages to types. Loaded with its first use, which trees don't need. */
    private static final class Mapper {

        /** Reads what programs write: strict JSON, unknown fields ignored. */
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

        /** Not instantiated. */
        private Mapper() {}
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
            return Mapper.INSTANCE.readValue(bytes, type);
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
        try {
            return JsonTrees.read(bytes);
        } catch (IOException exception) {
            throw MartenwellException.of(
                    ErrorKind.MALFORMED_REQUEST, "The body is no JSON.", exception);
        }
    }

    /**
     * Reads a message that holds values which others wrote. What can't be read of these becomes
     * {@code null} or holds U+FFFD.
     *
     * @param bytes The message.
     * @return The root of the message.
     */
    public static JsonNode readLeniently(byte[] bytes) {
        try {
            return JsonTrees.readLeniently(bytes);
        } catch (IOException exception) {
            throw MartenwellException.of(
                    ErrorKind.MALFORMED_REQUEST, "The body is no JSON.", exception);
        }
    }

    /**
     * Writes a message of any shape.
     *
     * @param root The root of the message.
     * @return The message in UTF-8.
     */
    public static byte[] write(JsonNode root) {
        try {
            return JsonTrees.write(root);
        } catch (IOException exception) {
            throw MartenwellException.of(ErrorKind.INTERNAL, "A tree has no JSON form.", exception);
        }
    }

    /**
     * Writes a message.
     *
     * @param value The value to write.
     * @return The message in UTF-8.
     */
    public static byte[] write(Object value) {
        try {
            return Mapper.INSTANCE.writeValueAsBytes(value);
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
            return Mapper.INSTANCE.writerWithDefaultPrettyPrinter().writeValueAsString(value);
        } catch (JsonProcessingException exception) {
            throw MartenwellException.of(
                    ErrorKind.INTERNAL, "A value has no JSON form.", exception);
        }
    }
}
