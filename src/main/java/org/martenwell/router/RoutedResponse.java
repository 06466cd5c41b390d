package org.martenwell.router;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import java.util.List;
import org.martenwell.error.Outcome;
import org.martenwell.http.HeaderField;

/**
 * Response to a caller.
 *
 * @param status The HTTP status.
 * @param headers The header fields for the caller.
 * @param body The body, in chunks.
 * @param complete {@code true} if the complete body was received from the target.
 * @param outcome The known outcome of the request.
 */
public record RoutedResponse(
        int status,
        List<HeaderField> headers,
        ChannelSupplier<ByteBuf> body,
        boolean complete,
        Outcome outcome) {}
