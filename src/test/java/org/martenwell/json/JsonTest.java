package org.martenwell.json;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

class JsonTest {

    /** The reference implementation. */
    private final ObjectMapper mapper = new ObjectMapper();

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "[]",
                "null",
                "{\"a\":[1,-2.5,true,false,null,\"t\u00e9\\n\\\"x\"],\"b\":{\"c\":{}}}",
                "{\"whole\":9007199254740993,\"long\":123456789012345678901234567890}",
                " [ 1e3 , 0.1 ] "
            })
    void testTreeMatchesObjectMapperAndRoundTrips(String text) throws Exception {
        JsonNode tree = Json.read(bytes(text));
        assertThat(tree).isEqualTo(mapper.readTree(text));
        assertThat(Json.read(Json.write(tree))).isEqualTo(tree);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                " ",
                "{",
                "[1",
                "{\"a\"}",
                "{\"a\":}",
                "{} {}",
                "nul",
                "// a\n1",
                "[1,]"
            })
    void testInvalidJsonIsMalformedRequest(String text) {
        assertThatThrownBy(() -> Json.read(bytes(text)))
                .isInstanceOf(MartenwellException.class)
                .extracting(failure -> ((MartenwellException) failure).kind())
                .isEqualTo(ErrorKind.MALFORMED_REQUEST);
    }

    @Test
    void testDeeplyNestedDocumentIsMalformedRequest() {
        String deep = "[".repeat(100_000);
        assertThatThrownBy(() -> Json.read(bytes(deep))).isInstanceOf(MartenwellException.class);
    }

    /**
     * Guards against rejecting an entire target list because one value, written by another program,
     * contains a control character or invalid UTF-8.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "\"a\u0001b\"",
                "\"\u00ff\u00fe\"",
                "NaN",
                "-Infinity",
                "007",
                "1e999999999",
                "\"\\q\"",
                "{\"a\":1,\"a\":2}"
            })
    void testLenientReadSkipsInvalidValue(String bad) {
        byte[] text = ("[1," + bad + ",2]").getBytes(StandardCharsets.ISO_8859_1);
        JsonNode tree = Json.readLeniently(text);
        assertThat(tree).hasSize(3);
        assertThat(tree.get(0).intValue()).isEqualTo(1);
        assertThat(tree.get(2).intValue()).isEqualTo(2);
    }

    @Test
    void testLenientReadSkipsOversizedValues() {
        String deep = "[".repeat(50_000) + "]".repeat(50_000);
        String digits = "9".repeat(500_000);
        JsonNode tree = Json.readLeniently(bytes("[" + deep + "," + digits + ",2]"));
        assertThat(tree.get(1).isNull()).isTrue();
        assertThat(tree.get(2).intValue()).isEqualTo(2);
    }

    /** A list may be long, but one of its entries must not fill the heap. */
    @Test
    void testLenientReadSkipsValuesWithManyParts() {
        String small = "{\"name\":\"a\",\"spec\":{\"x\":1}}";
        String large =
                "{\"name\":\"b\",\"spec\":{\"x\":[" + "[],".repeat(1_000_000) + "{}],\"y\":2}}";
        String list = (small + ",").repeat(100_000) + large + "," + small;
        JsonNode items = Json.readLeniently(bytes("{\"items\":[" + list + "]}")).get("items");
        assertThat(items).hasSize(100_002);
        assertThat(items.get(100_000))
                .isEqualTo(Json.read(bytes("{\"name\":\"b\",\"spec\":{\"x\":null,\"y\":2}}")));
        assertThat(items.get(100_001)).isEqualTo(items.get(0));
    }

    /** What a gateway forwards must be JSON, whatever it has read. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "NaN",
                "-Infinity",
                "1E999999999",
                "\"\\ud800\"",
                "{\"\\udfff\":1}",
                "\"\\ud83d\\ude00\""
            })
    void testLenientlyReadValueCanBeWritten(String value) {
        JsonNode tree = Json.readLeniently(bytes("[" + value + ",2]"));
        JsonNode again = Json.read(Json.write(tree));
        assertThat(again.get(1).intValue()).isEqualTo(2);
    }

    @Property(tries = 500, seed = "36")
    void testLenientReadOfRandomBytesSucceedsOrReportsMalformedRequest(
            @ForAll @Size(max = 60) byte[] noise) {
        try {
            Json.readLeniently(noise);
        } catch (MartenwellException malformed) {
            assertThat(malformed.kind()).isEqualTo(ErrorKind.MALFORMED_REQUEST);
        }
    }

    @Property(tries = 500, seed = "37")
    void testRandomBytesInStringDoNotAffectNextValue(@ForAll @Size(max = 40) byte[] noise) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        text.writeBytes(bytes("[\""));
        for (byte each : noise) {
            if (each != '"' && each != '\\') {
                text.write(each);
            }
        }
        text.writeBytes(bytes("\",2]"));
        assertThat(Json.readLeniently(text.toByteArray()).get(1).intValue()).isEqualTo(2);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
