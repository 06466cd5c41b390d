package org.martenwell.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Decodes HTTP responses of a target. The request method is needed because responses to {@code
 * HEAD} have no body even if their headers announce one. Netty reads more than RFC 9112 allows, so
 * status lines and the names of fields are checked here; a response with an invalid one is decoded
 * as a failure.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    /** The versions that share the syntax of HTTP/1.1. */
    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[0-9]");

    private HttpMethod requestMethod = HttpMethod.GET;

    /** Set while a response has begun whose last part isn't decoded. */
    private boolean withinResponse;

    /** Creates a decoder that assumes {@code GET} until {@link #expect} is called. */
    ResponseDecoder() {
        super(CodecChannels.responseConfig());
    }

    /**
     * Sets the method of the next request, before its response is decoded.
     *
     * @param method The request method.
     */
    void expect(HttpMethod method) {
        requestMethod = method;
    }

    /**
     * Returns whether bytes of another response have arrived behind the last complete one.
     *
     * @return {@code true} also if they don't make up a part of a response yet.
     */
    boolean withinResponse() {
        return withinResponse || actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> parts)
            throws Exception {
        int read = buffer.readerIndex();
        int decoded = parts.size();
        super.decode(context, buffer, parts);
        if (parts.size() > decoded) {
            withinResponse = !(parts.get(parts.size() - 1) instanceof LastHttpContent);
        } else {
            withinResponse |= buffer.readerIndex() != read;
        }
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        if (!VERSION.matcher(statusLine[0]).matches()) {
            throw new IllegalArgumentException("The protocol of the response is not HTTP/1.");
        }
        if (StatusCode.parse(statusLine[1]).isEmpty()) {
            throw new IllegalArgumentException("The status code of the response is invalid.");
        }
        return super.createMessage(statusLine);
    }

    /**
     * {@inheritDoc} Netty ends the name at a blank and skips what stands between that and the
     * colon. Only blanks may be skipped, by RFC 9112, section 5.1.
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        int next = start + length;
        while (next < line.length && (line[next] == ' ' || line[next] == '\t')) {
            next++;
        }
        if (length == 0 || next == line.length || line[next] != ':') {
            throw new IllegalArgumentException("The name of a field is invalid.");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return requestMethod.equals(HttpMethod.HEAD) || super.isContentAlwaysEmpty(message);
    }
}
