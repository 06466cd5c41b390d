package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.bytebuf.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against chunks that callers read otherwise than those of the codec. */
final class ChunkTest {

    private static final int MAX_BYTES = 5_000;

    private final EmbeddedChannel codec = CodecChannels.forCaller(8_192);

    @Test
    void testBytesAreThoseOfTheCodec() {
        encode(head());
        byte[] content = new byte[MAX_BYTES];
        new Random(1).nextBytes(content);
        for (int length = 1; length < MAX_BYTES; length++) {
            byte[] piece = Arrays.copyOf(content, length);
            assertThat(Chunk.encode(piece).asArray())
                    .isEqualTo(encode(new DefaultHttpContent(Unpooled.wrappedBuffer(piece))));
        }
        codec.finishAndReleaseAll();
    }

    /** The codec doesn't see the chunks. */
    @Test
    void testCodecEndsAResponseWhoseChunksItDidNotEncode() {
        encode(head());
        byte[] end = encode(LastHttpContent.EMPTY_LAST_CONTENT);
        assertThat(new String(end, StandardCharsets.US_ASCII)).isEqualTo("0\r\n\r\n");
        codec.finishAndReleaseAll();
    }

    private byte[] encode(Object message) {
        ByteBuf bytes = CodecChannels.encode(codec, message);
        return bytes.asArray();
    }

    private static HttpResponse head() {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        return head;
    }
}
