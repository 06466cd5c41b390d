package org.martenwell.json;

import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * Builds the tree of one document. Limits on the values of third parties keep one of them from
 * exhausting the stack or the heap; a value beyond a limit becomes {@code null}.
 */
final class TreeReader {

    /** The maximum nesting depth. */
    private static final int MAX_DEPTH = 64;

    /**
     * The maximum number of values within an object or array, below the levels of the document
     * itself. A megabyte of small values takes up to 45 MB as a tree.
     */
    private static final int MAX_VALUES = 100_000;

    /** The levels of the document itself, such as an object with a list, which may be longer. */
    private static final int DOCUMENT_LEVELS = 2;

    /** The maximum number of digits of an integer; parsers without limits have one of their own. */
    private static final int MAX_DIGITS = 1_000;

    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private final JsonParser parser;

    private final int maxDepth;

    private final int maxValues;

    /** The number of values in the tree so far. */
    private int values;

    private TreeReader(JsonParser parser, int maxDepth, int maxValues) {
        this.parser = parser;
        this.maxDepth = maxDepth;
        this.maxValues = maxValues;
    }

    /**
     * Creates a reader without limits on depth and size.
     *
     * @param parser The parser, at the first token.
     * @return The reader.
     */
    static TreeReader unlimited(JsonParser parser) {
        return new TreeReader(parser, Integer.MAX_VALUE, Integer.MAX_VALUE);
    }

    /**
     * Creates a reader with limits on depth and size.
     *
     * @param parser The parser, at the first token.
     * @return The reader.
     */
    static TreeReader limited(JsonParser parser) {
        return new TreeReader(parser, MAX_DEPTH, MAX_VALUES);
    }

    /**
     * Reads the value at the parser's current token.
     *
     * @return The root node.
     * @throws IOException If the document is malformed.
     */
    JsonNode read() throws IOException {
        return readValue(1);
    }

    private JsonNode readValue(int level) throws IOException {
        values++;
        JsonToken token = parser.currentToken();
        if (token == null) {
            throw new JsonParseException(parser, "The document is empty.");
        }
        return switch (token) {
            case START_OBJECT -> level <= maxDepth ? readObject(level) : skipValue();
            case START_ARRAY -> level <= maxDepth ? readArray(level) : skipValue();
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> readInteger();
            case VALUE_NUMBER_FLOAT -> readFloat();
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            default -> throw new JsonParseException(parser, "Expected a value.");
        };
    }

    /** Skips the current object or array and returns a null node. */
    private JsonNode skipValue() throws IOException {
        parser.skipChildren();
        return NODES.nullNode();
    }

    private JsonNode readObject(int level) throws IOException {
        ObjectNode object = NODES.objectNode();
        int before = values;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            object.set(name, readValue(level + 1));
            if (isTooLarge(level, before)) {
                return skipRest(before);
            }
        }
        return object;
    }

    private JsonNode readArray(int level) throws IOException {
        ArrayNode array = NODES.arrayNode();
        int before = values;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(readValue(level + 1));
            if (isTooLarge(level, before)) {
                return skipRest(before);
            }
        }
        return array;
    }

    private boolean isTooLarge(int level, int before) {
        return level > DOCUMENT_LEVELS && values - before > maxValues;
    }

    /** Skips the rest of the object or array around the current token and returns a null node. */
    private JsonNode skipRest(int before) throws IOException {
        values = before;
        int open = 1;
        while (open > 0) {
            JsonToken token = parser.nextToken();
            if (token == null) {
                throw new JsonParseException(parser, "The document ends within a value.");
            }
            if (token.isStructStart()) {
                open++;
            } else if (token.isStructEnd()) {
                open--;
            }
        }
        return NODES.nullNode();
    }

    /** Reads a number; one that JSON can't represent, as for its exponent, becomes {@code null}. */
    private JsonNode readFloat() throws IOException {
        double value = parser.getDoubleValue();
        return Double.isFinite(value) ? NODES.numberNode(value) : NODES.nullNode();
    }

    /** Reads an integer into the smallest type that holds it. */
    private JsonNode readInteger() throws IOException {
        if (parser.getTextLength() > MAX_DIGITS) {
            return NODES.nullNode();
        }
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }
}
