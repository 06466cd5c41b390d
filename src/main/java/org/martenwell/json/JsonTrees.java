package org.martenwell.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerationException;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Parses and serializes JSON trees without an {@code ObjectMapper}, whose initialization takes 0.10
 * of the 0.50 s of processor time of a gateway's start.
 */
final class JsonTrees {

    private static final JsonFactory FACTORY = new JsonFactory();

    private static final int REPLACEMENT_CHARACTER = 0xFFFD;

    /**
     * Tolerates invalid values in documents with entries from third parties, so that one invalid
     * value does not invalidate the entire document.
     */
    private static final JsonFactory LENIENT =
            JsonFactory.builder()
                    .enable(JsonReadFeature.ALLOW_UNESCAPED_CONTROL_CHARS)
                    .enable(JsonReadFeature.ALLOW_NON_NUMERIC_NUMBERS)
                    .enable(JsonReadFeature.ALLOW_LEADING_ZEROS_FOR_NUMBERS)
                    .enable(JsonReadFeature.ALLOW_BACKSLASH_ESCAPING_ANY_CHARACTER)
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(Integer.MAX_VALUE)
                                    .maxNumberLength(Integer.MAX_VALUE)
                                    .maxNameLength(Integer.MAX_VALUE)
                                    .build())
                    .build();

    private JsonTrees() {}

    /**
     * Parses a document strictly.
     *
     * @param bytes The document, encoded in UTF-8, without trailing content.
     * @return The root node.
     * @throws IOException If the document is malformed.
     */
    static JsonNode read(byte[] bytes) throws IOException {
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            parser.nextToken();
            JsonNode root = TreeReader.unlimited(parser).read();
            if (parser.nextToken() != null) {
                throw new JsonParseException(
                        parser, "Unexpected content after the end of the document.");
            }
            return root;
        }
    }

    /**
     * Parses a document that contains values from third parties. Values that cannot be parsed
     * become {@code null}, and invalid UTF-8 becomes U+FFFD.
     *
     * @param bytes The document, without trailing content.
     * @return The root node.
     * @throws IOException If the structure of the document is malformed.
     */
    static JsonNode readLeniently(byte[] bytes) throws IOException {
        String text = new String(bytes, StandardCharsets.UTF_8);
        try (JsonParser parser = LENIENT.createParser(text)) {
            parser.nextToken();
            JsonNode root = TreeReader.limited(parser).read();
            if (parser.nextToken() != null) {
                throw new JsonParseException(
                        parser, "Unexpected content after the end of the document.");
            }
            return root;
        }
    }

    /**
     * Serializes a tree.
     *
     * @param root The root node.
     * @return The document, encoded in UTF-8.
     * @throws IOException If a node cannot be represented in JSON.
     */
    static byte[] write(JsonNode root) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator generator = FACTORY.createGenerator(bytes)) {
            write(root, generator);
        }
        return bytes.toByteArray();
    }

    private static void write(JsonNode value, JsonGenerator generator) throws IOException {
        switch (value.getNodeType()) {
            case OBJECT -> writeObject(value, generator);
            case ARRAY -> writeArray(value, generator);
            case STRING -> generator.writeString(encodable(value.textValue()));
            case NUMBER -> generator.writeNumber(value.asText());
            case BOOLEAN -> generator.writeBoolean(value.booleanValue());
            case NULL, MISSING -> generator.writeNull();
            default ->
                    throw new JsonGenerationException(
                            value.getNodeType() + " nodes cannot be serialized as JSON.",
                            generator);
        }
    }

    private static void writeObject(JsonNode object, JsonGenerator generator) throws IOException {
        generator.writeStartObject();
        for (Map.Entry<String, JsonNode> each : object.properties()) {
            generator.writeFieldName(encodable(each.getKey()));
            write(each.getValue(), generator);
        }
        generator.writeEndObject();
    }

    /** Replaces unpaired surrogates, which UTF-8 can't represent, by U+FFFD. */
    private static String encodable(String text) {
        return text.codePoints().anyMatch(JsonTrees::isUnpaired)
                ? text.codePoints()
                        .map(each -> isUnpaired(each) ? REPLACEMENT_CHARACTER : each)
                        .collect(
                                StringBuilder::new,
                                StringBuilder::appendCodePoint,
                                StringBuilder::append)
                        .toString()
                : text;
    }

    private static boolean isUnpaired(int codePoint) {
        return Character.getType(codePoint) == Character.SURROGATE;
    }

    private static void writeArray(JsonNode array, JsonGenerator generator) throws IOException {
        generator.writeStartArray();
        for (JsonNode each : array) {
            write(each, generator);
        }
        generator.writeEndArray();
    }
}
