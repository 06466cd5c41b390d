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
 * Decodes requests and rejects those that Netty accepts with a folded header line, or with a target
 * outside ASCII. It checks the bytes that Netty consumes as heads, so that requests behind others
 * are checked like the first.
 */
final class CallerRequestDecoder extends HttpRequestDecoder {

    /** The last character of ASCII that is visible. */
    private static final char LAST_VISIBLE = '~';

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

    /**
     * {@inheritDoc}
     *
     * <p>Bytes outside ASCII can't stand in a target by RFC 9112, section 3.2. Targets would read
     * them in several ways, and a route for the percent-encoded target wouldn't apply.
     */
    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        if (initialLine[1].chars().anyMatch(each -> each > LAST_VISIBLE)) {
            throw new IllegalArgumentException("The request target is not in ASCII.");
        }
        return super.createMessage(initialLine);
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
