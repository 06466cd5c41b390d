package org.martenwell.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class EventSplitterTest {

    private static final String STREAM =
            "id: 0\ndata: {\"a\":\"é\"}\n\nid: 1\ndata: {\"b\":2}\n\n: note\n\ndata: [DONE]\n\n";

    @Test
    void testIncompleteEventIsBuffered() {
        EventSplitter splitter = new EventSplitter();
        assertThat(splitter.receive(bytes("id: 0\ndata: x\n")).bytes().isEmpty()).isTrue();
        EventBatch batch = splitter.receive(bytes("\nid: 1"));
        assertThat(text(batch)).isEqualTo("id: 0\ndata: x\n\n");
        assertThat(batch.lastId()).contains("0");
        assertThat(batch.count()).isEqualTo(1);
    }

    @Test
    void testResetDiscardsTheIncompleteEvent() {
        EventSplitter splitter = new EventSplitter();
        splitter.receive(bytes("id: 0\ndata: x"));
        splitter.reset();
        assertThat(text(splitter.receive(bytes("id: 0\ndata: y\n\n"))))
                .isEqualTo("id: 0\ndata: y\n\n");
    }

    /** The target that resumes the stream would take another event for the last one. */
    @Test
    void testIdOutsideAsciiKeepsItsBytes() {
        EventBatch batch = new EventSplitter().receive(bytes("id: \u0644-1\ndata: a\n\n"));
        assertThat(batch.lastId()).contains("\u00d9\u0084-1");
    }

    @Test
    void testCarriageReturnsBeforeLineFeedsAreIgnored() {
        EventBatch batch = new EventSplitter().receive(bytes("data: x\r\n\r\n"));
        assertThat(batch.count()).isEqualTo(1);
    }

    @Property(tries = 500, seed = "1")
    void testEventsDoNotDependOnChunkBoundaries(
            @ForAll @Size(max = 12) List<@IntRange(min = 0, max = 70) Integer> cuts) {
        byte[] all = bytes(STREAM);
        int[] ends = cuts.stream().mapToInt(cut -> Math.min(cut, all.length)).sorted().toArray();
        EventSplitter splitter = new EventSplitter();
        ByteArrayOutputStream complete = new ByteArrayOutputStream();
        int start = 0;
        int count = 0;
        boolean ended = false;
        for (int index = 0; index <= ends.length; index++) {
            int end = index == ends.length ? all.length : ends[index];
            EventBatch batch = splitter.receive(Arrays.copyOfRange(all, start, end));
            complete.writeBytes(batch.bytes().array());
            count += batch.count();
            ended = ended || batch.ended();
            start = end;
        }
        assertThat(complete.toByteArray()).isEqualTo(all);
        assertThat(count).isEqualTo(2);
        assertThat(ended).isTrue();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(EventBatch batch) {
        return new String(batch.bytes().array(), StandardCharsets.UTF_8);
    }
}
