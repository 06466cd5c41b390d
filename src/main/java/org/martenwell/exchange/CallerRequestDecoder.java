package org.martenwell.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes requests and rejects those with a folded header line, which Netty accepts. It checks the
 * bytes that Netty consumes as heads, so that requests behind others are checked like the first.
 */
final class CallerRequestDecoder extends HttpRequestDecoder {

    private final ObsoleteFoldDetector foldDetector = new ObsoleteFoldDetector();

    /** Set while the head of a request is expected or incomplete. */
    private boolean inHead = true;

    /** Set while a part of a request is read. */
    private boolean withinRequest;

    /** Set once a request is rejected, since the position of the next one is unknown. */
    private boolean rejected;

    /**
     * Creates a decoder.
     *
     * @param config The limits on requests.
     */
    CallerRequestDecoder(HttpDecoderConfig config) {
        super(config);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
            throws Exception {
        if (rejected) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        int begin = buffer.readerIndex();
        super.decode(context, buffer, out);
        if (inHead && containsFold(buffer, begin)) {
            reject(buffer, out);
            return;
        }
        for (Object each : out) {
            inHead = each instanceof LastHttpContent;
            if (inHead) {
                foldDetector.reset();
            }
        }
        if (!out.isEmpty()) {
            withinRequest = !inHead;
        } else if (buffer.readerIndex() > begin) {
            withinRequest = true;
        }
    }

    /** {@return {@code true} if a part of a request is read, or a request was rejected} */
    boolean withinRequest() {
        return rejected || withinRequest || actualReadableBytes() > 0;
    }

    /** Checks the bytes from an index to the reader's index. */
    private boolean containsFold(ByteBuf buffer, int begin) {
        byte[] consumed = new byte[buffer.readerIndex() - begin];
        buffer.getBytes(begin, consumed);
        return foldDetector.containsFold(consumed, 0, consumed.length);
    }

    private void reject(ByteBuf buffer, List<Object> out) {
        rejected = true;
        buffer.skipBytes(buffer.readableBytes());
        out.clear();
        HttpMessage invalid = createInvalidMessage();
        invalid.setDecoderResult(
                DecoderResult.failure(new IllegalArgumentException("A header line is folded.")));
        out.add(invalid);
    }
}
