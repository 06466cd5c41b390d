package org.martenwell.exchange;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against request targets that are changed when they are written, as those that a gateway of
 * the build before offloads.
 */
class TargetRequestEncoderTest {

    private final EmbeddedChannel codec = CodecChannels.forTarget(new ResponseDecoder());

    @AfterEach
    void release() {
        codec.finishAndReleaseAll();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "/",
                "*",
                "/a?b",
                "/citt%C3%A0",
                "/citt\u00c3\u00a0",
                "http://h.example",
                "http://h.example?a=/b",
                "h.example:80"
            })
    void testTargetIsWrittenAsItWasRead(String target) {
        byte[] bytes = encode(target);
        assertThat(new String(bytes, StandardCharsets.ISO_8859_1))
                .startsWith("GET " + target + " HTTP/1.1\r\n");
    }

    @Test
    void testTargetThatBytesCannotRepresentIsNotWritten() {
        assertThatThrownBy(() -> encode("/\u0644")).hasStackTraceContaining("request target");
    }

    private byte[] encode(String target) {
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, target);
        return CodecChannels.encode(codec, request).asArray();
    }
}
