package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.bytebuf.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against refusals whose bytes differ from those of other responses of the gateway. */
final class EmptyResponseTest {

    private static final int FIRST_STATUS = 100;

    private static final int END_OF_STATUSES = 1_000;

    @Test
    void testBytesAreThoseOfTheCodec() {
        for (int status = FIRST_STATUS; status < END_OF_STATUSES; status++) {
            if (EmptyResponse.supports(status)) {
                assertSame(status, headers());
            }
        }
    }

    @Test
    void testStatusesWithoutBodyAreLeftToTheCodec() {
        for (int status = FIRST_STATUS; status < 400; status++) {
            assertThat(EmptyResponse.supports(status)).isFalse();
        }
    }

    @Test
    void testCharactersBeyondAsciiAreThoseOfTheCodec() {
        HttpHeaders headers = headers();
        headers.set("X-Name", "\u00e9\u00ff\u0100\u20ac");
        assertSame(503, headers);
    }

    @Test
    void testResponseWithoutHeadersIsThatOfTheCodec() {
        assertSame(503, DefaultHttpHeadersFactory.headersFactory().newHeaders());
    }

    private static HttpHeaders headers() {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        headers.set("X-Martenwell-Attempt-Id", "a1");
        headers.add("X-Repeated", "one");
        headers.add("X-Repeated", "");
        headers.set(HttpHeaderNames.RETRY_AFTER, "0.12");
        headers.set(HttpHeaderNames.CONTENT_LENGTH, 0);
        headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        return headers;
    }

    private static void assertSame(int status, HttpHeaders headers) {
        EmbeddedChannel codec = CodecChannels.forCaller(8_192);
        ByteBuf expected =
                CodecChannels.encode(
                        codec,
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1,
                                HttpResponseStatus.valueOf(status),
                                Unpooled.EMPTY_BUFFER,
                                headers.copy(),
                                DefaultHttpHeadersFactory.trailersFactory().newHeaders()));
        codec.finishAndReleaseAll();
        assertThat(EmptyResponse.encode(status, headers).asString(StandardCharsets.ISO_8859_1))
                .isEqualTo(expected.asString(StandardCharsets.ISO_8859_1));
    }
}
