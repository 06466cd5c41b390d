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
 * Reads the JSON that people write: comments and trailing commas are allowed, unknown fields and
 * fields that are given twice are not.
 */
public final class JsonDocuments {

    /** Creates parsers. */
    private static final JsonFactory PARSERS =
            JsonFactory.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
                    .build();

    /** Not instantiated. */
    private JsonDocuments() {}

    /** Maps documents to types. Loaded with its first use, which parsers don't need. */
    private static final class Mapper {

        /** Maps documents. */
        private static final ObjectMapper INSTANCE =
                JsonMapper.builder(PARSERS)
                        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
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
     * Creates a parser that takes a document piece by piece.
     *
     * @param text The document.
     * @return The parser.
     * @throws IOException Never for a text.
     */
    public static JsonParser parser(String text) throws IOException {
        return PARSERS.createParser(text);
    }

    /**
     * Parses a document.
     *
     * @param file The name of the document, for the message.
     * @param text The document.
     * @return The root of the document.
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
     * Maps a checked document to its type.
     *
     * @param root The root of the document.
     * @param type The type to map to.
     * @param <T> The type to map to.
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
