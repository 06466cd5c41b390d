package org.martenwell.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Encodes requests whose targets are written as they were read, one byte per character. Netty
 * encodes them in UTF-8 and adds slashes.
 */
final class TargetRequestEncoder extends HttpRequestEncoder {

    private static final char MAX_BYTE = 255;

    private static final int END_OF_LINE = '\r' << Byte.SIZE | '\n';

    /** Creates an encoder. */
    TargetRequestEncoder() {}

    @Override
    protected void encodeInitialLine(ByteBuf buffer, HttpRequest request) {
        String target = request.uri();
        if (target.chars().anyMatch(each -> each > MAX_BYTE)) {
            throw new IllegalArgumentException("The request target is not encoded.");
        }
        ByteBufUtil.copy(request.method().asciiName(), buffer);
        buffer.writeByte(' ');
        buffer.writeCharSequence(target, StandardCharsets.ISO_8859_1);
        buffer.writeByte(' ');
        buffer.writeCharSequence(request.protocolVersion().text(), StandardCharsets.US_ASCII);
        buffer.writeShort(END_OF_LINE);
    }
}
