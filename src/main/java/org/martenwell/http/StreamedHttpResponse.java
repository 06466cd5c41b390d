package org.martenwell.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import java.util.List;

/**
 * A response whose body has not been read yet. The body must be read to its end or closed; closing
 * it closes the connection.
 *
 * @param status The HTTP status code.
 * @param headers The header fields in the order received.
 * @param body The body, piece by piece.
 * @param framed {@code true} if a truncated body shows, {@code false} if the body ends with its
 *     connection, so that a truncated one looks complete.
 */
public record StreamedHttpResponse(
        int status, List<HeaderField> headers, ChannelSupplier<ByteBuf> body, boolean framed) {}
