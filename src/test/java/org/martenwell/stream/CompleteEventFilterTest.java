package org.martenwell.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CompleteEventFilterTest {

    /** Three events, one of them with CRLF line ends. */
    private static final String STREAM =
            "id: 1\ndata: a\n\nversion: 7\r\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

    @Property(tries = 300, seed = "11")
    void testBytesPassUnchangedForAnyChunkSize(@ForAll @IntRange(min = 1, max = 20) int size) {
        CompleteEventFilter events = new CompleteEventFilter();
        StringBuilder passed = new StringBuilder();
        for (int from = 0; from < STREAM.length(); from += size) {
            String piece = STREAM.substring(from, Math.min(STREAM.length(), from + size));
            passed.append(text(events.receive(bytes(piece))));
        }
        assertThat(passed.toString()).isEqualTo(STREAM);
        assertThat(events.lastId()).contains("3");
        assertThat(events.tail()).isEmpty();
    }

    @Test
    void testIncompleteEventIsBufferedAndDiscarded() {
        CompleteEventFilter events = new CompleteEventFilter();
        assertThat(text(events.receive(bytes("id: 1\ndata: a\n\nid: 2\nda"))))
                .isEqualTo("id: 1\ndata: a\n\n");
        events.reset();
        assertThat(text(events.receive(bytes("id: 2\ndata: b\n\n"))))
                .isEqualTo("id: 2\ndata: b\n\n");
        assertThat(events.lastId()).contains("2");
    }

    @Test
    void testTailIsReturnedAfterTheStreamEnded() {
        CompleteEventFilter events = new CompleteEventFilter();
        assertThat(events.receive(bytes("data: a"))).isEmpty();
        assertThat(text(events.tail())).isEqualTo("data: a");
        assertThat(events.lastId()).isEmpty();
    }

    /** The target that resumes the stream would take another event for the last one. */
    @Test
    void testIdOutsideAsciiKeepsItsBytes() {
        CompleteEventFilter events = new CompleteEventFilter();
        events.receive(bytes("id: \u0644-1\ndata: a\n\n"));
        assertThat(events.lastId()).contains("\u00d9\u0084-1");
    }

    /** A stream that ends within an event was cut off, but a comment belongs to no event. */
    @ParameterizedTest
    @CsvSource({
        "'',false",
        "'id: 1|data: a||',false",
        "'id: 1|data: a|',true",
        "'id: 1|data: a||i',true",
        "'id: 1|data: a||: keep-alive',false",
        "'id: 1|data: a||: keep-alive|',false",
        "'id: 1|: comment|',true",
        "': comment|id: 1',true",
        "'|',false",
    })
    void testEndWithinAnEvent(String stream, boolean within) {
        for (String lineEnd : List.of("\n", "\r\n")) {
            CompleteEventFilter filtered = new CompleteEventFilter();
            filtered.receive(bytes(stream.replace("|", lineEnd)));
            assertThat(filtered.withinEvent()).isEqualTo(within);
            CompleteEventFilter followed = new CompleteEventFilter();
            followed.follow(bytes(stream.replace("|", lineEnd)));
            assertThat(followed.withinEvent()).isEqualTo(within);
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
