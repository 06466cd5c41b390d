package org.martenwell.json;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonFactory;
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

/**
 * Parses JSON files written by people: comments and trailing commas are allowed, unknown and
 * duplicate fields are rejected.
 */
public final class JsonDocuments {

    private static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
                    .build();

    private JsonDocuments() {}

    /** Initializes the object mapper on first use; {@link #parser} does not need it. */
    private static final class Mapper {

        private static final ObjectMapper INSTANCE =
                JsonMapper.builder(FACTORY)
                        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                        .addModule(new Jdk8Module())
                        .defaultPropertyInclusion(
                                JsonInclude.Value.construct(
                                        JsonInclude.Include.NON_ABSENT,
                                        JsonInclude.Include.NON_ABSENT))
                        .build();

        private Mapper() {}
    }

    /**
     * Creates a streaming parser.
     *
     * @param text The content of the document.
     * @return The parser, to be closed by the caller.
     * @throws IOException Declared by the parser library; not thrown for a string.
     */
    public static JsonParser parser(String text) throws IOException {
        return FACTORY.createParser(text);
    }

    /**
     * Parses a document into a tree. Throws {@link ErrorKind#INVALID_DOCUMENT} with the line of a
     * syntax error.
     *
     * @param file The name of the document for error messages.
     * @param text The content of the document.
     * @return The root node.
     */
    public static JsonNode parse(String file, String text) {
        try {
            return Mapper.INSTANCE.readTree(text);
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
     * Maps a document to a type after its schema was checked. Throws {@link
     * ErrorKind#INVALID_DOCUMENT} if the document does not match the type.
     *
     * @param root The root node of the document.
     * @param type The class to map to.
     * @param <T> The type of the result.
     * @return The mapped value.
     */
    public static <T> T map(JsonNode root, Class<T> type) {
        try {
            return Mapper.INSTANCE.treeToValue(root, type);
        } catch (JsonProcessingException exception) {
            throw MartenwellException.of(
                    ErrorKind.INVALID_DOCUMENT, exception.getOriginalMessage(), exception);
        }
    }
}
