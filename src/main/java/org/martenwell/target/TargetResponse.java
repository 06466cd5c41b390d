package org.martenwell.target;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import java.util.List;
import org.martenwell.http.HeaderField;

/**
 * A target's response with its unread body. The body must be read to its end or closed.
 *
 * @param status The HTTP status code.
 * @param headers The header fields.
 * @param body The body, piece by piece.
 * @param framed {@code true} if a truncated body shows, {@code false} if the body ends with its
 *     connection, so that a truncated one looks complete.
 */
public record TargetResponse(
        int status, List<HeaderField> headers, ChannelSupplier<ByteBuf> body, boolean framed) {}
