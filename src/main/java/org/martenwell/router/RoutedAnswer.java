package org.martenwell.router;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import java.util.List;
import org.martenwell.error.Outcome;
import org.martenwell.http.HeaderField;

/**
 * A target's answer on its way to the caller.
 *
 * @param status The HTTP status.
 * @param headers The header fields that go on to the caller.
 * @param body The body, piece by piece.
 * @param whole {@code true} if the body has arrived whole.
 * @param outcome What is known of the request.
 */
public record RoutedAnswer(
        int status,
        List<HeaderField> headers,
        ChannelSupplier<ByteBuf> body,
        boolean whole,
        Outcome outcome) {}
