package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against texts that arrive as other ones in the value of a field. */
class FieldValueTest {

    private static final String NAME = "x-name";

    /** A reader of UTF-8 gets the text back, so that no two texts have one value. */
    @Property(tries = 2_000, seed = "61")
    void testTextArrivesUnchanged(@ForAll("texts") String text) {
        Optional<String> value = FieldValue.of(text);
        if (value.isPresent()) {
            byte[] bytes = transferred(value.get()).getBytes(StandardCharsets.ISO_8859_1);
            assertThat(new String(bytes, StandardCharsets.UTF_8)).isEqualTo(text);
        } else {
            assertThat(text)
                    .matches("(?s)|[ \t].*|.*[ \t]|.*[\\x00-\\x1f\\x7f\\ud800-\\udfff\\ufffd].*");
        }
    }

    @Property(tries = 500, seed = "62")
    void testVisibleAsciiIsItsOwnValue(@ForAll("visible") String text) {
        assertThat(FieldValue.of(text)).contains(text);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                " ",
                "a ",
                "\ta",
                "a\nb",
                "a\rb",
                "\u0000",
                "\u001f",
                "\u007f",
                "\ud800",
                "a\udc00b",
                "\udc00\ud800",
                "\ufffd"
            })
    void testTextThatNoValueRepresentsHasNone(String text) {
        assertThat(FieldValue.of(text)).isEmpty();
    }

    @Provide
    Arbitrary<String> texts() {
        Arbitrary<Character> characters =
                Arbitraries.oneOf(
                        Arbitraries.chars().range('\u0000', '\u00ff'),
                        Arbitraries.chars().all(),
                        Arbitraries.of('\ud83d', '\ude00', '\u0644', '%', '?', '\ufffd'));
        return characters.list().ofMaxSize(8).map(FieldValueTest::concatenated);
    }

    @Provide
    Arbitrary<String> visible() {
        return Arbitraries.strings().withCharRange('!', '~').ofMinLength(1).ofMaxLength(40);
    }

    private static String concatenated(Iterable<Character> characters) {
        StringBuilder text = new StringBuilder();
        characters.forEach(text::append);
        return text.toString();
    }

    /** Returns the value that a server reads of a request with a field. */
    private static String transferred(String value) {
        DefaultFullHttpRequest sent =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        sent.headers().set(NAME, value);
        EmbeddedChannel client = CodecChannels.forTarget(new ResponseDecoder());
        EmbeddedChannel server = CodecChannels.forCaller(16_384);
        CodecChannels.decode(server, CodecChannels.encode(client, sent));
        HttpRequest received = server.readInbound();
        server.finishAndReleaseAll();
        client.finishAndReleaseAll();
        return received.headers().get(NAME);
    }
}
