package org.martenwell.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerationException;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;

/**
 * Reads and writes trees of JSON without a mapper of types, whose set-up took 0.10 of 0.50 s of
 * processor time of a gateway's start (medians of five and seven starts).
 */
final class JsonTrees {

    /** Creates parsers and generators. */
    private static final JsonFactory FACTORY = new JsonFactory();

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
            JsonNode root = value(parser);
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
     * @return The value.
     * @throws IOException If the text is malformed.
     */
    private static JsonNode value(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == null) {
            throw new JsonParseException(parser, "The document is empty.");
        }
        return switch (token) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> array(parser);
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
     * Reads an object.
     *
     * @param parser Stands at its begin.
     * @return The object.
     * @throws IOException If the text is malformed.
     */
    private static ObjectNode object(JsonParser parser) throws IOException {
        ObjectNode object = NODES.objectNode();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            object.set(name, value(parser));
        }
        return object;
    }

    /**
     * Reads an array.
     *
     * @param parser Stands at its begin.
     * @return The array.
     * @throws IOException If the text is malformed.
     */
    private static ArrayNode array(JsonParser parser) throws IOException {
        ArrayNode array = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(value(parser));
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
