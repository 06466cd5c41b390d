package org.martenwell.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerationException;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
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

    /** The maximum nesting depth in lenient mode; values nested more deeply become {@code null}. */
    private static final int MAX_DEPTH = 64;

    /**
     * The maximum number of digits of an integer in lenient mode; strict parsers enforce a limit of
     * their own.
     */
    private static final int MAX_DIGITS = 1_000;

    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

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
            JsonNode root = readValue(parser, Integer.MAX_VALUE);
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
            JsonNode root = readValue(parser, MAX_DEPTH);
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

    /**
     * Reads the value at the parser's current token; levels below the depth become {@code null}.
     */
    private static JsonNode readValue(JsonParser parser, int depth) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == null) {
            throw new JsonParseException(parser, "The document is empty.");
        }
        return switch (token) {
            case START_OBJECT -> depth > 0 ? readObject(parser, depth - 1) : skipValue(parser);
            case START_ARRAY -> depth > 0 ? readArray(parser, depth - 1) : skipValue(parser);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> readInteger(parser);
            case VALUE_NUMBER_FLOAT -> readFloat(parser);
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            default -> throw new JsonParseException(parser, "Expected a value.");
        };
    }

    /** Skips the current object or array and returns a null node. */
    private static JsonNode skipValue(JsonParser parser) throws IOException {
        parser.skipChildren();
        return NODES.nullNode();
    }

    private static ObjectNode readObject(JsonParser parser, int depth) throws IOException {
        ObjectNode object = NODES.objectNode();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            object.set(name, readValue(parser, depth));
        }
        return object;
    }

    private static ArrayNode readArray(JsonParser parser, int depth) throws IOException {
        ArrayNode array = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(readValue(parser, depth));
        }
        return array;
    }

    /** Reads a number; one that JSON can't represent, as for its exponent, becomes {@code null}. */
    private static JsonNode readFloat(JsonParser parser) throws IOException {
        double value = parser.getDoubleValue();
        return Double.isFinite(value) ? NODES.numberNode(value) : NODES.nullNode();
    }

    /** Reads an integer into the smallest type that holds it. */
    private static JsonNode readInteger(JsonParser parser) throws IOException {
        if (parser.getTextLength() > MAX_DIGITS) {
            return NODES.nullNode();
        }
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
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

    /** Replaces unpaired surrogates, which UTF-8 can't represent, by question marks. */
    private static String encodable(String text) {
        return text.chars().anyMatch(each -> Character.isSurrogate((char) each))
                ? new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8)
                : text;
    }

    private static void writeArray(JsonNode array, JsonGenerator generator) throws IOException {
        generator.writeStartArray();
        for (JsonNode each : array) {
            write(each, generator);
        }
        generator.writeEndArray();
    }
}
