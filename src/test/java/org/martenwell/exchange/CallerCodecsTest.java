package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.bytebuf.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against a codec that carries the beginning of one caller's request to another caller. */
final class CallerCodecsTest {

    private static final int HEADER_BYTES = 8_192;

    private static final String REQUEST =
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";

    private final CallerCodecs codecs = new CallerCodecs();

    @Test
    void testCodecBehindARequestIsUsedAgain() {
        EmbeddedChannel codec = read(REQUEST);
        assertThat(codecs.giveBack(codec, HEADER_BYTES)).isTrue();
        assertThat(codecs.take(HEADER_BYTES)).isSameAs(codec);
    }

    @Test
    void testCodecWithinARequestStaysInUse() {
        for (int length = 1; length < REQUEST.length(); length++) {
            EmbeddedChannel codec = read(REQUEST + REQUEST.substring(0, length));
            assertThat(codecs.giveBack(codec, HEADER_BYTES)).isFalse();
        }
    }

    @Test
    void testCodecThatRejectedARequestStaysInUse() {
        EmbeddedChannel codec = read("GET / HTTP/1.1\r\nHost: h\r\n folded\r\n\r\n");
        assertThat(codecs.giveBack(codec, HEADER_BYTES)).isFalse();
    }

    @Test
    void testCodecOfAnotherLimitIsNotUsedAgain() {
        EmbeddedChannel codec = read(REQUEST);
        assertThat(codecs.giveBack(codec, HEADER_BYTES)).isTrue();
        assertThat(codecs.take(2 * HEADER_BYTES)).isNotSameAs(codec);
    }

    private EmbeddedChannel read(String bytes) {
        EmbeddedChannel codec = codecs.take(HEADER_BYTES);
        CodecChannels.decode(
                codec, ByteBuf.wrapForReading(bytes.getBytes(StandardCharsets.US_ASCII)));
        codec.releaseInbound();
        return codec;
    }
}
