package org.martenwell.target;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import java.util.List;
import org.martenwell.http.HeaderField;

/**
 * The beginning of a target's answer. Whoever holds it must read the body to its end or close it.
 *
 * @param status The HTTP status.
 * @param headers The header fields.
 * @param body The body, piece by piece.
 */
public record TargetAnswer(int status, List<HeaderField> headers, ChannelSupplier<ByteBuf> body) {}
