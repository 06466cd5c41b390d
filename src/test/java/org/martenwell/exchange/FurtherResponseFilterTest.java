package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a further response in a body without framing, and against cutting off a body. */
class FurtherResponseFilterTest {

    private static final String FURTHER = "HTTP/1.1 200 OK\r\nId: a\r\n\r\nsecond";

    private final FurtherResponseFilter filter =
            new FurtherResponseFilter(head -> head.headers().contains("Id"));

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 1_000})
    void testBodyEndsBeforeAFurtherResponse(int pieceLength) {
        assertThat(receive("first" + FURTHER, pieceLength)).isEqualTo("first");
        assertThat(filter.found()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nOther: a\r\n\r\nsecond",
                "GET / HTTP/1.1\r\nId: a\r\n\r\n",
                "see HTTP/1.1 404",
                "HHTTP/1.1 2000 HTTP/1.1",
                "ends with H",
                "",
            })
    void testBodyThatNamesTheProtocolIsPassedOn(String body) {
        for (int length : new int[] {1, 3, 1_000}) {
            assertThat(receive(body, length)).isEqualTo(body);
            assertThat(filter.found()).isFalse();
        }
    }

    /** An event of a stream may name the protocol. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "data: HTTP/1.1 200 OK\n\n",
                "HTTP/1.1 200 OK\r\nno header\r\n",
                "HTTP/1.1 600 OK\r\n",
                "HTTP/2 200\r\n",
            })
    void testBodyThatCanBeNoHeadIsNotKeptBack(String body) {
        assertThat(text(filter.receive(body.getBytes(StandardCharsets.ISO_8859_1))))
                .isEqualTo(body);
    }

    @Test
    void testHeadWithoutEndIsPassedOn() {
        String body = "HTTP/1.1 200 OK\r\n" + "x".repeat(10_000);
        assertThat(filter.receive(body.getBytes(StandardCharsets.ISO_8859_1)))
                .hasSize(body.length());
    }

    private String receive(String body, int pieceLength) {
        StringBuilder received = new StringBuilder();
        for (int from = 0; from < body.length() && !filter.found(); from += pieceLength) {
            String piece = body.substring(from, Math.min(body.length(), from + pieceLength));
            received.append(text(filter.receive(piece.getBytes(StandardCharsets.ISO_8859_1))));
        }
        return received + text(filter.rest());
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }
}
