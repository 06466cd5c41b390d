package org.martenwell.json;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.martenwell.error.ErrorKind;
import org.martenwell.error.MartenwellException;

class JsonTest {

    /** A mapper of the library, which reads the same trees. */
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
    void testTreeIsThatOfTheLibraryAndIsWrittenAsItIs(String text) throws Exception {
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
    void testWhatIsNoJsonIsMalformed(String text) {
        assertThatThrownBy(() -> Json.read(bytes(text)))
                .isInstanceOf(MartenwellException.class)
                .extracting(failure -> ((MartenwellException) failure).kind())
                .isEqualTo(ErrorKind.MALFORMED_REQUEST);
    }

    @Test
    void testDeepDocumentIsMalformedAndNoDefect() {
        String deep = "[".repeat(100_000);
        assertThatThrownBy(() -> Json.read(bytes(deep))).isInstanceOf(MartenwellException.class);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
