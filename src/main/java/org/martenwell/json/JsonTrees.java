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
 * Reads and writes trees of JSON without a mapper of types, whose set-up took 0.10 of 0.50 s of
 * processor time of a gateway's start (medians of five and seven starts).
 */
final class JsonTrees {

    /** Creates parsers and generators. */
    private static final JsonFactory FACTORY = new JsonFactory();

    /**
     * Creates parsers of what others wrote. One value that a strict parser refuses would cost the
     * whole document, and so all targets of a list.
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

    /** How deep what others wrote is read; documents of the store are at most ten levels deep. */
    private static final int MAX_DEPTH = 64;

    /** The most digits of a number; a strict parser refuses more by itself. */
    private static final int MAX_DIGITS = 1_000;

    /** Creates nodes. */
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    /** Not instantiated. */
    private JsonTrees() {}

    /**
     * Reads a tree.
     *
     * @param bytes The text in UTF-8, with nothing behind the tree.
     * @return The root.
     * @throws IOException If the text is malformed.
     */
    static JsonNode read(byte[] bytes) throws IOException {
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            parser.nextToken();
            JsonNode root = value(parser, Integer.MAX_VALUE);
            if (parser.nextToken() != null) {
                throw new JsonParseException(parser, "More follows the document.");
            }
            return root;
        }
    }

    /**
     * Reads a tree that holds values which others wrote. Values that can't be read become {@code
     * null}, and bytes that are no UTF-8 become U+FFFD, so that the others hold.
     *
     * @param bytes The text, with nothing behind the tree.
     * @return The root.
     * @throws IOException If its structure is malformed.
     */
    static JsonNode readLeniently(byte[] bytes) throws IOException {
        String text = new String(bytes, StandardCharsets.UTF_8);
        try (JsonParser parser = LENIENT.createParser(text)) {
            parser.nextToken();
            JsonNode root = value(parser, MAX_DEPTH);
            if (parser.nextToken() != null) {
                throw new JsonParseException(parser, "More follows the document.");
            }
            return root;
        }
    }

    /**
     * Writes a tree.
     *
     * @param root The root.
     * @return The text in UTF-8.
     * @throws IOException If a node has no JSON form.
     */
    static byte[] write(JsonNode root) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator generator = FACTORY.createGenerator(bytes)) {
            write(root, generator);
        }
        return bytes.toByteArray();
    }

    /**
     * Reads the value at which a parser stands.
     *
     * @param parser The parser.
     * @param depth How many levels are read; deeper ones become {@code null}.
     * @return The value.
     * @throws IOException If the text is malformed.
     */
    private static JsonNode value(JsonParser parser, int depth) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == null) {
            throw new JsonParseException(parser, "The document is empty.");
        }
        return switch (token) {
            case START_OBJECT -> depth > 0 ? object(parser, depth - 1) : skipped(parser);
            case START_ARRAY -> depth > 0 ? array(parser, depth - 1) : skipped(parser);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> wholeNumber(parser);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            default -> throw new JsonParseException(parser, "A value is due.");
        };
    }

    /**
     * Passes an object or array over.
     *
     * @param parser Stands at its begin.
     * @return Nothing.
     * @throws IOException If the text is malformed.
     */
    private static JsonNode skipped(JsonParser parser) throws IOException {
        parser.skipChildren();
        return NODES.nullNode();
    }

    /**
     * Reads an object.
     *
     * @param parser Stands at its begin.
     * @param depth How many levels of its values are read.
     * @return The object.
     * @throws IOException If the text is malformed.
     */
    private static ObjectNode object(JsonParser parser, int depth) throws IOException {
        ObjectNode object = NODES.objectNode();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            object.set(name, value(parser, depth));
        }
        return object;
    }

    /**
     * Reads an array.
     *
     * @param parser Stands at its begin.
     * @param depth How many levels of its values are read.
     * @return The array.
     * @throws IOException If the text is malformed.
     */
    private static ArrayNode array(JsonParser parser, int depth) throws IOException {
        ArrayNode array = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(value(parser, depth));
        }
        return array;
    }

    /**
     * Reads a whole number.
     *
     * @param parser Stands at it.
     * @return The number, of the smallest type that holds it.
     * @throws IOException If the text is malformed.
     */
    private static JsonNode wholeNumber(JsonParser parser) throws IOException {
        if (parser.getTextLength() > MAX_DIGITS) {
            return NODES.nullNode();
        }
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }

    /**
     * Writes a value.
     *
     * @param value The value.
     * @param generator Receives it.
     * @throws IOException If it has no JSON form.
     */
    private static void write(JsonNode value, JsonGenerator generator) throws IOException {
        switch (value.getNodeType()) {
            case OBJECT -> writeObject(value, generator);
            case ARRAY -> writeArray(value, generator);
            case STRING -> generator.writeString(value.textValue());
            case NUMBER -> generator.writeNumber(value.asText());
            case BOOLEAN -> generator.writeBoolean(value.booleanValue());
            case NULL, MISSING -> generator.writeNull();
            default ->
                    throw new JsonGenerationException(
                            value.getNodeType() + " has no JSON form.", generator);
        }
    }

    /**
     * Writes an object.
     *
     * @param object The object.
     * @param generator Receives it.
     * @throws IOException If a value has no JSON form.
     */
    private static void writeObject(JsonNode object, JsonGenerator generator) throws IOException {
        generator.writeStartObject();
        for (Map.Entry<String, JsonNode> each : object.properties()) {
            generator.writeFieldName(each.getKey());
            write(each.getValue(), generator);
        }
        generator.writeEndObject();
    }

    /**
     * Writes an array.
     *
     * @param array The array.
     * @param generator Receives it.
     * @throws IOException If a value has no JSON form.
     */
    private static void writeArray(JsonNode array, JsonGenerator generator) throws IOException {
        generator.writeStartArray();
        for (JsonNode each : array) {
            write(each, generator);
        }
        generator.writeEndArray();
    }
}
